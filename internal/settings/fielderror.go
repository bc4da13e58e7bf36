package settings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// FieldError says which setting is wrong and what was expected.
type FieldError struct {
	File string
	// Pointer is the setting's JSON pointer (RFC 6901); empty for the whole
	// file.
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

// fieldError names the first setting that breaks the schema.
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
		return &FieldError{file, pointer(append(path, k.Properties[0])), unknown(path)}
	case *kind.Required:
		return &FieldError{file, pointer(append(path, k.Missing[0])), "required, but missing"}
	}
	return &FieldError{file, pointer(path), expected(v.ErrorKind) + unitOf(path)}
}

// expected says what would have been right.
func expected(k jsonschema.ErrorKind) string {
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
	return fmt.Sprintf("breaks the schema's rule %v", k.KeywordPath())
}

// unknown lists the fields that the object has.
func unknown(path []string) string {
	var names []string
	for _, f := range fields() {
		if len(f.path) == len(path)+1 && pointer(f.path[:len(path)]) == pointer(path) {
			names = append(names, f.path[len(path)])
		}
	}
	return "no such field; expected one of " + strings.Join(names, ", ")
}

// unitOf names the unit of the field, where it has one.
func unitOf(path []string) string {
	for _, f := range fields() {
		if f.unit != "" && pointer(f.path) == pointer(path) {
			return " (" + f.unit + ")"
		}
	}
	return ""
}

// pointer writes a path as a JSON pointer.
func pointer(path []string) string {
	var b strings.Builder
	for _, p := range path {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return b.String()
}
