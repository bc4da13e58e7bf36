package configuration

import (
	"bytes"
	"embed"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

//go:embed schema.json
var schemaFile embed.FS

const schemaName = "schema.json"

var schema = sync.OnceValues(compile)

// Build merges and validates a folder. It returns the canonical document and its
// decoded form, or an InvalidError that lists the violations: those of the schema,
// or, if there are none, those of the rules that the schema cannot express.
func Build(files []File) ([]byte, *Document, error) {
	data, err := Merge(files)
	if err != nil {
		return nil, nil, err
	}
	origin := newOrigins(Sorted(files))
	violations, err := checkSchema(data, origin)
	if err != nil {
		return nil, nil, err
	}
	if len(violations) > 0 {
		return nil, nil, errors.WithStack(&InvalidError{violations})
	}
	doc, err := Decode(data)
	if err != nil {
		return nil, nil, err
	}
	if violations := checkReferences(doc, origin); len(violations) > 0 {
		return nil, nil, errors.WithStack(&InvalidError{violations})
	}
	return data, doc, nil
}

func compile() (*jsonschema.Schema, error) {
	data, err := schemaFile.ReadFile(schemaName)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return nil, errors.WithStack(err)
	}
	compiled, err := c.Compile(schemaName)
	return compiled, errors.WithStack(err)
}

// checkSchema returns the document's violations of the JSON schema.
func checkSchema(data []byte, origin *origins) ([]Violation, error) {
	compiled, err := schema()
	if err != nil {
		return nil, err
	}
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	err = compiled.Validate(tree)
	if err == nil {
		return nil, nil
	}
	var failed *jsonschema.ValidationError
	if !errors.As(err, &failed) {
		return nil, errors.WithStack(err)
	}
	violations := leaves(failed, origin)
	sortViolations(violations)
	return violations, nil
}

// leaves returns the violations for the innermost causes of a validation error.
func leaves(failed *jsonschema.ValidationError, origin *origins) []Violation {
	var list []Violation
	if len(failed.Causes) == 0 {
		return append(list, describe(failed, origin)...)
	}
	for _, cause := range failed.Causes {
		list = append(list, leaves(cause, origin)...)
	}
	return list
}

func describe(failed *jsonschema.ValidationError, origin *origins) []Violation {
	at := func(parts []string, expected string) Violation {
		return Violation{origin.file(parts), findings.Pointer(parts...), expected}
	}
	within := func(name string) []string {
		return append(append([]string(nil), failed.InstanceLocation...), name)
	}
	switch k := failed.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		expected := "expected no such field"
		if len(failed.InstanceLocation) == 1 && failed.InstanceLocation[0] != partLimits {
			expected = "expected a name of lower-case letters, digits and hyphens"
		}
		list := make([]Violation, 0, len(k.Properties))
		for _, name := range k.Properties {
			list = append(list, at(within(name), expected))
		}
		return list
	case *kind.Required:
		list := make([]Violation, 0, len(k.Missing))
		for _, name := range k.Missing {
			list = append(list, at(within(name), "expected a value, got none"))
		}
		return list
	}
	text := failed.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Violation{at(failed.InstanceLocation, strings.TrimSpace(text))}
}

func sortViolations(list []Violation) {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Pointer != list[j].Pointer {
			return list[i].Pointer < list[j].Pointer
		}
		return list[i].Expected < list[j].Expected
	})
}
