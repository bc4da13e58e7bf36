package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// field describes a setting or a group of settings, as read from the schema.
type field struct {
	path        []string
	unit        string
	description string
	required    bool
	kind        string
	limits      string
	group       bool
}

// schemaNode is a node of the JSON schema, with the keywords that the settings
// use.
type schemaNode struct {
	Ref         string                `json:"$ref"`
	Defs        map[string]schemaNode `json:"$defs"`
	Type        string                `json:"type"`
	Description string                `json:"description"`
	Unit        string                `json:"unit"`
	Format      string                `json:"format"`
	Pattern     string                `json:"pattern"`
	Enum        []string              `json:"enum"`
	Minimum     *int64                `json:"minimum"`
	Maximum     *int64                `json:"maximum"`
	MinLength   *int64                `json:"minLength"`
	MinItems    *int64                `json:"minItems"`
	MaxItems    *int64                `json:"maxItems"`
	Required    []string              `json:"required"`
	Properties  map[string]schemaNode `json:"properties"`
	Items       *schemaNode           `json:"items"`
}

// schemaFields returns all settings and groups, in the order of their paths.
func schemaFields() []field {
	var root schemaNode
	if err := json.Unmarshal(schemaText, &root); err != nil {
		panic(err)
	}
	return root.walk(nil, root.Defs)
}

// walk returns the fields of the object n, which is at path, and of the objects
// in it.
func (n *schemaNode) walk(path []string, defs map[string]schemaNode) []field {
	names := make([]string, 0, len(n.Properties))
	for name := range n.Properties {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]field, 0, len(names))
	for _, name := range names {
		p := n.Properties[name].resolve(defs)
		fieldPath := append(slices.Clone(path), name)
		list = append(list, field{
			path:        fieldPath,
			unit:        p.Unit,
			description: p.Description,
			required:    slices.Contains(n.Required, name),
			kind:        p.kind(),
			limits:      p.limits(defs),
			group:       len(p.Properties) > 0,
		})
		list = append(list, p.walk(fieldPath, defs)...)
	}
	return list
}

// resolve returns the definition that n refers to, with n's own description and
// unit. It returns n itself if n is not a reference.
func (n schemaNode) resolve(defs map[string]schemaNode) schemaNode {
	name, ok := strings.CutPrefix(n.Ref, "#/$defs/")
	if !ok {
		return n
	}
	to := defs[name]
	to.Description = n.Description
	to.Unit = n.Unit
	return to
}

func (n *schemaNode) kind() string {
	switch {
	case n.Format == formatAddress:
		return "IPv4 address and port"
	case len(n.Enum) > 0:
		return "one of " + strings.Join(n.Enum, ", ")
	}
	return n.Type
}

// limits returns a textual description of the permitted values.
func (n *schemaNode) limits(defs map[string]schemaNode) string {
	var parts []string
	add := func(format string, v *int64) {
		if v != nil {
			parts = append(parts, fmt.Sprintf(format, *v))
		}
	}
	add("at least %d", n.Minimum)
	add("at most %d", n.Maximum)
	add("at least %d characters", n.MinLength)
	add("at least %d items", n.MinItems)
	add("at most %d items", n.MaxItems)
	if n.Pattern != "" {
		parts = append(parts, "`"+n.Pattern+"`")
	}
	if n.Items != nil {
		items := n.Items.resolve(defs)
		parts = append(parts, "each "+items.limits(defs))
	}
	return strings.Join(parts, "; ")
}

const documentHead = `# Settings

The settings file of one ` + "`cornelsaddle serve -settings FILE`" + ` process, as JSON. What
applies to the service on all VMs is set in the configuration, a separate folder.

A file with an unknown field, a value of the wrong type or unit, or an address
that is not an IPv4 address and a port is rejected at start-up; the error message
gives the file, the field's JSON pointer and the expected value. Times are integers
in milliseconds, sizes integers in bytes. Host names are not resolved.

This page is generated from the schema by ` + "`go run ./cmd/cornelsaddlectl docs docs`" + `.
`

// Document returns the operators' reference page of the settings, as Markdown.
func Document() string {
	defaults := defaultValues()
	var b strings.Builder
	b.WriteString(documentHead)
	for _, f := range schemaFields() {
		if f.group {
			fmt.Fprintf(&b, "\n## `%s`\n\n%s%s\n\n", f.path[0], f.description, optional(f))
			b.WriteString("| field | type | unit | default | limits | meaning |\n|---|---|---|---|---|---|\n")
			continue
		}
		value := defaults[pointer(f.path)]
		if f.required {
			value = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n",
			strings.Join(f.path[1:], "."), f.kind, f.unit, value, f.limits, f.description)
	}
	b.WriteString(documentTail)
	return b.String()
}

const documentTail = "\n## Example\n\n```json\n" + Example + "```\n"

// Example is a complete settings file.
const Example = `{
  "vm": {"id": "entry-1", "region": "dar-coast", "failure_domain": "upanga"},
  "callers": {"address": "127.0.0.1:8080"},
  "admin": {"address": "127.0.0.1:8081", "token": "change-me-change-me"},
  "peers": {"address": "127.0.0.1:8082", "keys": ["change-me-change-me"]},
  "platform": {"address": "127.0.0.1:9000"}
}
`

func optional(f field) string {
	if f.required {
		return ""
	}
	return " Optional."
}

// defaultValues returns the defaults by JSON pointer.
func defaultValues() map[string]string {
	data, err := json.Marshal(Default())
	if err != nil {
		panic(err)
	}
	var groups map[string]map[string]any
	if err := json.Unmarshal(data, &groups); err != nil {
		panic(err)
	}
	values := make(map[string]string)
	for group, list := range groups {
		for name, v := range list {
			values[pointer([]string{group, name})] = defaultText(v)
		}
	}
	return values
}

func defaultText(v any) string {
	if n, ok := v.(float64); ok {
		return fmt.Sprintf("%d", int64(n))
	}
	return fmt.Sprint(v)
}
