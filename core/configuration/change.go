package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// ConflictError says that two changes of the same version cannot both hold.
type ConflictError struct {
	// Files that both changed, each otherwise.
	Files []string
	// Overlap says that the changes are in different files but set the same
	// values.
	Overlap bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Overlap {
		return "another accepted change sets the same values in other files"
	}
	return fmt.Sprintf("another accepted change has other contents of %s", strings.Join(e.Files, ", "))
}

// Rebase carries the change from base to mine over to theirs, which was
// accepted after base. Changes of different files are joined; the result holds
// both. Where it cannot, the failure is a ConflictError.
func Rebase(base, theirs, mine []File) ([]File, error) {
	b, t, m := contents(base), contents(theirs), contents(mine)
	var conflicts []string
	joined := maps.Clone(t)
	for _, name := range names(b, t, m) {
		if same(m, b, name) || same(m, t, name) {
			continue
		}
		if !same(t, b, name) {
			conflicts = append(conflicts, name)
			continue
		}
		if data, ok := m[name]; ok {
			joined[name] = data
		} else {
			delete(joined, name)
		}
	}
	if len(conflicts) > 0 {
		return nil, errors.WithStack(&ConflictError{Files: conflicts})
	}
	files := make([]File, 0, len(joined))
	for _, name := range slices.Sorted(maps.Keys(joined)) {
		files = append(files, File{name, joined[name]})
	}
	return files, checkOverlap(base, theirs, mine, files)
}

// SameFiles reports whether both folders hold the same files.
func SameFiles(a, b []File) bool {
	x, y := contents(a), contents(b)
	for _, name := range names(x, y) {
		if !same(x, y, name) {
			return false
		}
	}
	return true
}

// checkOverlap checks that the joined document is what either change makes of
// the other's document, so that none hides a part of the other.
func checkOverlap(base, theirs, mine, joined []File) error {
	var docs [4][]byte
	for i, files := range [][]File{base, theirs, mine, joined} {
		data, err := Merge(files)
		if err != nil {
			return err
		}
		docs[i] = data
	}
	mineOverTheirs, err := carry(docs[0], docs[2], docs[1])
	if err != nil {
		return err
	}
	theirsOverMine, err := carry(docs[0], docs[1], docs[2])
	if err != nil {
		return err
	}
	if !bytes.Equal(mineOverTheirs, docs[3]) || !bytes.Equal(theirsOverMine, docs[3]) {
		return errors.WithStack(&ConflictError{Overlap: true})
	}
	return nil
}

// carry applies to onto what changed between from and to.
func carry(from, to, onto []byte) ([]byte, error) {
	patch, err := Diff(from, to)
	if err != nil {
		return nil, err
	}
	return Patch(onto, patch)
}

// Diff returns the RFC 7386 patch that makes from into to.
func Diff(from, to []byte) ([]byte, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	return patch, errors.WithStack(err)
}

// Patch applies an RFC 7386 patch; the result is canonical.
func Patch(doc, patch []byte) ([]byte, error) {
	out, err := jsonpatch.MergePatch(doc, patch)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return canonical(out)
}

// contents maps names to canonical contents, so that white space is no change.
func contents(files []File) map[string]json.RawMessage {
	m := make(map[string]json.RawMessage, len(files))
	for _, f := range files {
		data, err := canonical(f.Data)
		if err != nil {
			data = f.Data
		}
		m[f.Name] = data
	}
	return m
}

func names(sets ...map[string]json.RawMessage) []string {
	all := make(map[string]bool)
	for _, set := range sets {
		for name := range set {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// same reports whether both have the file with equal contents, or both lack it.
func same(a, b map[string]json.RawMessage, name string) bool {
	x, inA := a[name]
	y, inB := b[name]
	return inA == inB && bytes.Equal(x, y)
}
