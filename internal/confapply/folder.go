// Package confapply puts a folder of configuration files in force: it merges
// and checks them, writes the version to the object store and moves the head
// row. The configuration_apply chart decides; this package carries out its
// actions.
package confapply

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// suffix of the files of a folder that are read.
const suffix = ".json"

// ReadFolder reads the folder's JSON files.
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

// NameError says that an accepted file has a name that no folder can hold.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string { return "not a name of a configuration file: " + e.Name }

// WriteFolder makes the folder hold exactly the files; JSON files of other
// names are removed.
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
