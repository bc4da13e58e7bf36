package configuration

import (
	"bytes"
	"encoding/json"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// File is one file of the folder.
type File struct {
	Name string
	Data []byte
}

// FileError says what is wrong with a file, and where.
type FileError struct {
	File    string
	Pointer string
	Reason  string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Pointer == "" {
		return e.File + ": " + e.Reason
	}
	return e.File + ": " + e.Pointer + ": " + e.Reason
}

// Merge merges the files in the order of their names by RFC 7386.
func Merge(files []File) ([]byte, error) {
	sorted := append([]File(nil), files...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	merged := []byte("{}")
	for _, f := range sorted {
		next, err := jsonpatch.MergePatch(merged, f.Data)
		if err != nil {
			return nil, errors.WithStack(&FileError{File: f.Name, Reason: err.Error()})
		}
		merged = next
	}
	return merged, nil
}

// Decode reads a merged document; a field it does not know is an error.
func Decode(data []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, errors.WithStack(&FileError{File: "document", Reason: err.Error()})
	}
	return &d, nil
}
