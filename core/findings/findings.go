// Package findings holds the results of checking a configuration before it is put in
// force: what is wrong with it, and what differs from another version. The package is
// pure; the rules are next to the types that they check.
package findings

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid marks a value that is refused, or that is not used as it is written.
	Invalid Kind = "invalid"
	// NeverMatches marks an entry that no request can reach.
	NeverMatches Kind = "never_matches"
	// Contradiction marks a limit that another one makes impossible to reach or to keep.
	Contradiction Kind = "contradiction"
)

// Finding is one fault of a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	// File is the file that sets the value.
	File string `json:"file"`
	// Pointer is the JSON pointer (RFC 6901) of the value; empty for a whole file.
	Pointer string `json:"pointer"`
	Text    string `json:"text"`
}

// String returns the finding in one line.
func (f Finding) String() string {
	if f.Pointer == "" {
		return f.File + ": " + f.Text
	}
	return f.File + ": " + f.Pointer + ": " + f.Text
}

// Pointer joins the parts into a JSON pointer.
func Pointer(parts ...string) string {
	var b strings.Builder
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(escape.Replace(p))
	}
	return b.String()
}

// Sort orders the findings by pointer and text.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.Pointer, b.Pointer), strings.Compare(a.Text, b.Text))
	})
}
