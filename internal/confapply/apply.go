// Package confapply puts a folder of configuration files in force: it merges
// them, writes the document to the object store and moves the head row.
package confapply

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// ReadFolder reads the folder's JSON files.
func ReadFolder(dir string) ([]configuration.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var files []configuration.File
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".json") {
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

// Apply moves the head from version base to the next one and returns it.
func Apply(store *platform.Client, files []configuration.File, base int64) (int64, error) {
	data, err := configuration.Merge(files)
	if err != nil {
		return 0, err
	}
	if _, err := configuration.Decode(data); err != nil {
		return 0, err
	}
	row, err := store.Get(configuration.HeadKey)
	if err != nil {
		return 0, err
	}
	var head configuration.Head
	if row.Version != wire.AbsentVersion {
		if err := json.Unmarshal(row.Value, &head); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	if head.Version != base {
		return 0, errcode.New(errcode.ConfigConflict, "the version in force is %d, not %d", head.Version, base)
	}
	change := uuid.NewString()
	next := configuration.Head{
		Version: base + 1,
		Object:  "configuration/" + change,
		Digest:  calls.Digest(data),
		Change:  change,
	}
	if err := store.PutObject(next.Object, data); err != nil {
		return 0, err
	}
	return next.Version, move(store, row.Version, next)
}

func move(store *platform.Client, rowVersion int64, next configuration.Head) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.WithStack(err)
	}
	_, outcome, err := store.Apply(wire.Txn{
		Conditions: []wire.Condition{{Key: configuration.HeadKey, Version: rowVersion}},
		Puts:       []wire.Put{{Key: configuration.HeadKey, Value: value}},
	})
	switch {
	case outcome == platform.OutcomeApplied:
		return nil
	case err == nil:
		return errcode.New(errcode.ConfigConflict, "another version was applied first")
	}
	return err
}
