package configuration

import (
	"encoding/json"
	"strings"
)

// Violation is a breach of one validation rule by a folder.
type Violation struct {
	// File is the file that set the value; the last one if several did.
	File string `json:"file"`
	// Pointer is the JSON pointer of the value in the merged document.
	Pointer string `json:"pointer"`
	// Expected describes the values that the rule accepts.
	Expected string `json:"expected"`
}

// String returns the violation in one line.
func (v Violation) String() string { return v.File + ": " + v.Pointer + ": " + v.Expected }

// InvalidError lists the violations of a folder.
type InvalidError struct {
	Violations []Violation
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// origins finds the file that set a value. It holds the names and decoded
// contents of the files, in the order in which they are merged.
type origins struct {
	names []string
	trees []any
}

func newOrigins(sorted []File) *origins {
	o := &origins{}
	for _, f := range sorted {
		var tree any
		if json.Unmarshal(f.Data, &tree) != nil {
			continue
		}
		o.names = append(o.names, f.Name)
		o.trees = append(o.trees, tree)
	}
	return o
}

// file returns the name of the last file that sets the value at the path, or, if
// none does, its closest ancestor that a file sets.
func (o *origins) file(parts []string) string {
	for n := len(parts); n >= 0; n-- {
		for i := len(o.trees) - 1; i >= 0; i-- {
			if hasValue(o.trees[i], parts[:n]) {
				return o.names[i]
			}
		}
	}
	return ""
}

// hasValue reports whether the tree sets the value at the path. An element of an
// array counts as set if the array is.
func hasValue(tree any, parts []string) bool {
	for _, p := range parts {
		object, ok := tree.(map[string]any)
		if !ok {
			_, array := tree.([]any)
			return array
		}
		if tree, ok = object[p]; !ok || tree == nil {
			return false
		}
	}
	return true
}
