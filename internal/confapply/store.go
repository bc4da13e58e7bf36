package confapply

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// Store is what an apply needs of the platform.
type Store interface {
	Get(key string) (wire.Row, error)
	Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error)
	GetObject(key string) ([]byte, error)
	PutObject(key string, data []byte) error
}

// readHead returns the head row's value and version; the zero Head where there
// is none.
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

// ReadHead returns the head; the zero Head where no version was accepted yet.
func ReadHead(store Store) (configuration.Head, error) {
	head, _, err := readHead(store, configuration.HeadKey)
	return head, err
}

// ReadFiles returns the files of an accepted version; none for version 0.
func ReadFiles(store Store, version int64) ([]configuration.File, error) {
	if version == 0 {
		return nil, nil
	}
	head, _, err := readHead(store, configuration.VersionKey(version))
	if err != nil {
		return nil, err
	}
	if head.Version != version {
		return nil, errcode.New(errcode.ConfigConflict, "there is no version %d", version)
	}
	data, err := store.GetObject(head.Files)
	if err != nil {
		return nil, err
	}
	var files []configuration.File
	return files, errors.WithStack(json.Unmarshal(data, &files))
}
