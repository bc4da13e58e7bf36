package settings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// FieldError reports an invalid setting and what was expected instead.
type FieldError struct {
	File string
	// Pointer is the setting's JSON pointer (RFC 6901); empty or "/" for the
	// whole file.
	Pointer  string
	Expected string
}

// Error implements error.
func (e *FieldError) Error() string {
	pointer := e.Pointer
	if pointer == "" {
		pointer = "/"
	}
	return e.File + ": " + pointer + ": " + e.Expected
}

// fieldError converts a validation error to a FieldError for the first setting
// that violates the schema.
func fieldError(file string, err error) *FieldError {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return &FieldError{file, "", err.Error()}
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	path := v.InstanceLocation
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return &FieldError{file, pointer(append(path, k.Properties[0])), unknownField(path)}
	case *kind.Required:
		return &FieldError{file, pointer(append(path, k.Missing[0])), "required field is missing"}
	}
	return &FieldError{file, pointer(path), expectation(v.ErrorKind) + unitOf(path)}
}

// expectation describes the expected value.
func expectation(k jsonschema.ErrorKind) string {
	switch k := k.(type) {
	case *kind.Type:
		return fmt.Sprintf("expected %s, not %s", strings.Join(k.Want, " or "), k.Got)
	case *kind.Format:
		return fmt.Sprintf("expected an IPv4 address and port such as 127.0.0.1:8080, not %q", k.Got)
	case *kind.Enum:
		return fmt.Sprintf("expected one of %v, not %v", k.Want, k.Got)
	case *kind.Pattern:
		return fmt.Sprintf("expected a string that matches %s, not %q", k.Want, k.Got)
	case *kind.Minimum:
		return fmt.Sprintf("expected at least %s, not %s", k.Want.RatString(), k.Got.RatString())
	case *kind.Maximum:
		return fmt.Sprintf("expected at most %s, not %s", k.Want.RatString(), k.Got.RatString())
	case *kind.MinLength:
		return fmt.Sprintf("expected at least %d characters, not %d", k.Want, k.Got)
	case *kind.MinItems:
		return fmt.Sprintf("expected at least %d items, not %d", k.Want, k.Got)
	case *kind.MaxItems:
		return fmt.Sprintf("expected at most %d items, not %d", k.Want, k.Got)
	}
	return fmt.Sprintf("violates the schema rule %v", k.KeywordPath())
}

// unknownField describes the fields that the object at path may have.
func unknownField(path []string) string {
	var names []string
	for _, f := range schemaFields() {
		if len(f.path) == len(path)+1 && pointer(f.path[:len(path)]) == pointer(path) {
			names = append(names, f.path[len(path)])
		}
	}
	return "unknown field; expected one of " + strings.Join(names, ", ")
}

// unitOf returns the unit of the field in parentheses, after a space, or an empty
// string if it has none.
func unitOf(path []string) string {
	for _, f := range schemaFields() {
		if f.unit != "" && pointer(f.path) == pointer(path) {
			return " (" + f.unit + ")"
		}
	}
	return ""
}

// pointer formats a path as a JSON pointer.
func pointer(path []string) string {
	var b strings.Builder
	for _, p := range path {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return b.String()
}
