package confapply

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// Store is the part of the platform's table service and object store that this
// package uses.
type Store interface {
	Get(key string) (wire.Row, error)
	Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error)
	GetObject(key string) ([]byte, error)
	PutObject(key string, data []byte) error
}

// readHead returns the Head stored in the row with the key, and the version of
// the row. If there is no such row, the Head is zero.
func readHead(store Store, key string) (configuration.Head, int64, error) {
	var head configuration.Head
	row, err := store.Get(key)
	if err != nil {
		return head, 0, err
	}
	if row.Version == wire.AbsentVersion {
		return head, row.Version, nil
	}
	return head, row.Version, errors.WithStack(json.Unmarshal(row.Value, &head))
}

// ReadHead returns the head, or the zero Head if no version has been accepted
// yet.
func ReadHead(store Store) (configuration.Head, error) {
	head, _, err := readHead(store, configuration.HeadKey)
	return head, err
}

// ReadFiles returns the files of an accepted version, or none for version 0. For
// a version that was not accepted the error has errcode.ConfigConflict.
func ReadFiles(store Store, version int64) ([]configuration.File, error) {
	if version == 0 {
		return nil, nil
	}
	head, _, err := readHead(store, configuration.VersionKey(version))
	if err != nil {
		return nil, err
	}
	if head.Version != version {
		return nil, errcode.New(errcode.ConfigConflict, "configuration version %d does not exist", version)
	}
	data, err := store.GetObject(head.Files)
	if err != nil {
		return nil, err
	}
	var files []configuration.File
	return files, errors.WithStack(json.Unmarshal(data, &files))
}
