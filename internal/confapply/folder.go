// Package confapply publishes a folder of configuration files as a new version:
// it merges and validates the files, writes the version to the object store and
// updates the head row. The configuration_apply state chart defines the order of
// the steps; this package carries out its actions.
package confapply

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// suffix is the file name suffix of configuration files; other files of a folder
// are ignored.
const suffix = ".json"

// ReadFolder reads the JSON files in dir, without those of its subfolders.
func ReadFolder(dir string) ([]configuration.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var files []configuration.File
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), suffix) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errors.WithStack(err)
		}
		files = append(files, configuration.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

// NameError reports a file of an accepted version whose name is not a plain file
// name with the suffix .json, so that it can't be written to a folder.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string { return "invalid configuration file name: " + e.Name }

// WriteFolder writes the files to dir, which is created if necessary, and removes
// all other JSON files from it. An invalid file name yields a NameError; files
// before it have been written by then.
func WriteFolder(dir string, files []configuration.File) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	keep := make(map[string]bool)
	for _, f := range files {
		if f.Name != filepath.Base(f.Name) || !strings.HasSuffix(f.Name, suffix) {
			return errors.WithStack(&NameError{f.Name})
		}
		keep[f.Name] = true
		if err := os.WriteFile(filepath.Join(dir, f.Name), f.Data, 0o644); err != nil {
			return errors.WithStack(err)
		}
	}
	present, err := ReadFolder(dir)
	if err != nil {
		return err
	}
	for _, f := range present {
		if keep[f.Name] {
			continue
		}
		if err := os.Remove(filepath.Join(dir, f.Name)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
