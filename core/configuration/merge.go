package configuration

import (
	"bytes"
	"encoding/json"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// File is one file of a configuration folder. Data must be a JSON object.
type File struct {
	Name string          `json:"name"`
	Data json.RawMessage `json:"data"`
}

// FileError reports an error in a file. Pointer is the JSON pointer of the value
// at fault, or empty.
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

// Merge applies the files as RFC 7386 merge patches in the order of their names
// and returns the canonical document: equal documents have equal bytes. It
// returns a FileError for a file that is not a JSON object.
func Merge(files []File) ([]byte, error) {
	merged := []byte("{}")
	for _, f := range Sorted(files) {
		if err := checkObject(f); err != nil {
			return nil, err
		}
		next, err := jsonpatch.MergePatch(merged, f.Data)
		if err != nil {
			return nil, errors.WithStack(&FileError{File: f.Name, Reason: err.Error()})
		}
		merged = next
	}
	return canonical(merged)
}

// Sorted returns a copy of the list, sorted by file name.
func Sorted(files []File) []File {
	sorted := append([]File(nil), files...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// checkObject rejects a file that is not a JSON object: as a merge patch it
// would replace the whole document.
func checkObject(f File) error {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(f.Data, &object); err != nil {
		return errors.WithStack(&FileError{File: f.Name, Reason: "expected a JSON object: " + err.Error()})
	}
	if object == nil {
		return errors.WithStack(&FileError{File: f.Name, Reason: "expected a JSON object, got null"})
	}
	return nil
}

// canonical sorts object names and removes insignificant white space. Numbers
// keep their digits.
func canonical(data []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, errors.WithStack(err)
	}
	out, err := json.Marshal(tree)
	return out, errors.WithStack(err)
}

// Decode decodes a merged document. It returns a FileError if the document does
// not match, in particular for an unknown field.
func Decode(data []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, errors.WithStack(&FileError{File: "document", Reason: err.Error()})
	}
	return &d, nil
}
