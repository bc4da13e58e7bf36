package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"
)

// Change is the kind of a Difference.
type Change string

// Kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one value in which two versions of a configuration differ.
type Difference struct {
	Change  Change `json:"change"`
	Pointer string `json:"pointer"`
	// Before and After are the values; nil where there is none.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the difference in one line.
func (d Difference) String() string {
	switch d.Change {
	case Added:
		return fmt.Sprintf("%s: %s: %s", d.Change, d.Pointer, d.After)
	case Removed:
		return fmt.Sprintf("%s: %s: %s", d.Change, d.Pointer, d.Before)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", d.Change, d.Pointer, d.Before, d.After)
}

// Compare returns the differences between the JSON encodings of two values, in the order of
// their pointers. Lists are compared as a whole. The result is not nil if there is no error.
func Compare(before, after any) ([]Difference, error) {
	b, err := decoded(before)
	if err != nil {
		return nil, err
	}
	a, err := decoded(after)
	if err != nil {
		return nil, err
	}
	return compare(b, a, nil, []Difference{})
}

// decoded returns the value as decoded from its JSON encoding. Numbers keep their digits.
func decoded(v any) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var out any
	if err := dec.Decode(&out); err != nil {
		return nil, errors.WithStack(err)
	}
	return out, nil
}

func compare(before, after any, at []string, list []Difference) ([]Difference, error) {
	b, isObject := before.(map[string]any)
	a, areObjects := after.(map[string]any)
	if !isObject || !areObjects {
		if reflect.DeepEqual(before, after) {
			return list, nil
		}
		return appendDifference(list, Changed, before, after, at)
	}
	names := maps.Clone(b)
	maps.Copy(names, a)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		part := append(slices.Clone(at), name)
		old, was := b[name]
		next, is := a[name]
		var err error
		switch {
		case !was:
			list, err = appendDifference(list, Added, nil, next, part)
		case !is:
			list, err = appendDifference(list, Removed, old, nil, part)
		default:
			list, err = compare(old, next, part, list)
		}
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

func appendDifference(list []Difference, change Change, before, after any, at []string) ([]Difference, error) {
	d := Difference{Change: change, Pointer: Pointer(at...)}
	var err error
	if change != Added {
		if d.Before, err = json.Marshal(before); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if change != Removed {
		if d.After, err = json.Marshal(after); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return append(list, d), nil
}
