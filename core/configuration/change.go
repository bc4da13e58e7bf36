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

// ConflictError reports that two changes based on the same version cannot be
// combined.
type ConflictError struct {
	// Files lists the files that both changes edited with different results.
	Files []string
	// Overlap is set when the changes are in different files but one of them
	// overrides values of the other.
	Overlap bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Overlap {
		return "conflicts with an accepted change that sets the same values in other files"
	}
	return fmt.Sprintf("conflicts with an accepted change that has different contents of %s", strings.Join(e.Files, ", "))
}

// Rebase applies the change from base to mine on top of theirs, a folder that
// was accepted after base. The merge is per file: the result has the changes of
// both sides where they are in different files. It returns a ConflictError if
// both sides changed the same file differently or the combined document would
// lose a change.
func Rebase(base, theirs, mine []File) ([]File, error) {
	b, t, m := canonicalContents(base), canonicalContents(theirs), canonicalContents(mine)
	var conflicts []string
	joined := maps.Clone(t)
	for _, name := range fileNames(b, t, m) {
		if sameFile(m, b, name) || sameFile(m, t, name) {
			continue
		}
		if !sameFile(t, b, name) {
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

// SameFiles reports whether both folders have the same file names with equal
// contents, ignoring white space and the order of object names.
func SameFiles(a, b []File) bool {
	x, y := canonicalContents(a), canonicalContents(b)
	for _, name := range fileNames(x, y) {
		if !sameFile(x, y, name) {
			return false
		}
	}
	return true
}

// checkOverlap checks that the joined document equals the result of applying
// either change to the other side's document, so that neither change overrides
// a part of the other.
func checkOverlap(base, theirs, mine, joined []File) error {
	var docs [4][]byte
	for i, files := range [][]File{base, theirs, mine, joined} {
		data, err := Merge(files)
		if err != nil {
			return err
		}
		docs[i] = data
	}
	mineOverTheirs, err := applyDiff(docs[0], docs[2], docs[1])
	if err != nil {
		return err
	}
	theirsOverMine, err := applyDiff(docs[0], docs[1], docs[2])
	if err != nil {
		return err
	}
	if !bytes.Equal(mineOverTheirs, docs[3]) || !bytes.Equal(theirsOverMine, docs[3]) {
		return errors.WithStack(&ConflictError{Overlap: true})
	}
	return nil
}

// applyDiff applies the difference between from and to to the document onto.
func applyDiff(from, to, onto []byte) ([]byte, error) {
	patch, err := Diff(from, to)
	if err != nil {
		return nil, err
	}
	return Patch(onto, patch)
}

// Diff returns the RFC 7386 merge patch that turns from into to.
func Diff(from, to []byte) ([]byte, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	return patch, errors.WithStack(err)
}

// Patch applies an RFC 7386 merge patch and returns the result in canonical
// form.
func Patch(doc, patch []byte) ([]byte, error) {
	out, err := jsonpatch.MergePatch(doc, patch)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return canonical(out)
}

// canonicalContents maps file names to canonical contents, so that white space
// does not count as a change. Contents that are not valid JSON are kept as they
// are.
func canonicalContents(files []File) map[string]json.RawMessage {
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

func fileNames(sets ...map[string]json.RawMessage) []string {
	all := make(map[string]bool)
	for _, set := range sets {
		for name := range set {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// sameFile reports whether a and b both have the named file with equal contents,
// or both lack it.
func sameFile(a, b map[string]json.RawMessage, name string) bool {
	x, inA := a[name]
	y, inB := b[name]
	return inA == inB && bytes.Equal(x, y)
}
