package settings

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// edited returns Example with the value at the path replaced, or deleted if value
// is nil.
func edited(t *testing.T, value any, path ...string) []byte {
	t.Helper()
	var doc map[string]any
	require.NoError(t, json.Unmarshal([]byte(Example), &doc))
	object := doc
	for _, p := range path[:len(path)-1] {
		if object[p] == nil {
			object[p] = map[string]any{}
		}
		object = object[p].(map[string]any)
	}
	last := path[len(path)-1]
	object[last] = value
	if value == nil {
		delete(object, last)
	}
	data, err := json.Marshal(doc)
	require.NoError(t, err)
	return data
}

func TestExampleIsValid(t *testing.T) {
	s, err := Parse("example.json", []byte(Example))
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.VM.ID)
	require.Equal(t, Default().Callers.MaxBodyBytes, s.Callers.MaxBodyBytes)
	require.Equal(t, Default().Platform.TimeoutMs, s.Platform.TimeoutMs)
}

func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/settings/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err)
	}
}

func TestFieldErrorNamesFilePointerAndExpectation(t *testing.T) {
	const address = "expected an IPv4 address and port such as 127.0.0.1:8080"
	for name, c := range map[string]struct {
		value    any
		path     []string
		pointer  string
		expected string
	}{
		"unknown field":        {1, []string{"callers", "timeout_s"}, "/callers/timeout_s", "unknown field; expected one of address, drain_grace_ms, idle_timeout_ms"},
		"unknown group":        {1, []string{"colour"}, "/colour", "unknown field; expected one of admin, callers"},
		"escaped pointer":      {1, []string{"a/b~c"}, "/a~1b~0c", "unknown field"},
		"missing field":        {nil, []string{"vm", "id"}, "/vm/id", "required field is missing"},
		"missing group":        {nil, []string{"platform"}, "/platform", "required field is missing"},
		"wrong unit":           {"2s", []string{"platform", "timeout_ms"}, "/platform/timeout_ms", "expected integer, not string (ms)"},
		"not an integer":       {1.5, []string{"platform", "timeout_ms"}, "/platform/timeout_ms", "expected integer, not number (ms)"},
		"too small":            {0, []string{"platform", "timeout_ms"}, "/platform/timeout_ms", "expected at least 1, not 0 (ms)"},
		"too large":            {1 << 40, []string{"callers", "max_body_bytes"}, "/callers/max_body_bytes", "expected at most 268435456, not 1099511627776 (bytes)"},
		"host name":            {"localhost:80", []string{"callers", "address"}, "/callers/address", address},
		"IPv6":                 {"[::1]:80", []string{"callers", "address"}, "/callers/address", address},
		"no port":              {"127.0.0.1", []string{"admin", "address"}, "/admin/address", address},
		"port out of range":    {"127.0.0.1:65536", []string{"peers", "address"}, "/peers/address", address},
		"octet out of range":   {"256.0.0.1:80", []string{"platform", "address"}, "/platform/address", address},
		"address not a string": {80, []string{"platform", "address"}, "/platform/address", "expected string, not number"},
		"short token":          {"short", []string{"admin", "token"}, "/admin/token", "expected at least 16 characters, not 5"},
		"no keys":              {[]string{}, []string{"peers", "keys"}, "/peers/keys", "expected at least 1 items, not 0"},
		"short key":            {[]string{"short"}, []string{"peers", "keys"}, "/peers/keys/0", "expected at least 16 characters"},
		"format":               {"xml", []string{"log", "format"}, "/log/format", "expected one of [json text], not xml"},
		"name":                 {"Entry 1", []string{"vm", "id"}, "/vm/id", "expected a string that matches"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("vm.json", edited(t, c.value, c.path...))
			var fieldErr *FieldError
			require.ErrorAs(t, err, &fieldErr)
			require.Equal(t, "vm.json", fieldErr.File)
			require.Equal(t, c.pointer, fieldErr.Pointer)
			require.Contains(t, fieldErr.Expected, c.expected)
		})
	}
}

func TestErrorsDoNotContainSecrets(t *testing.T) {
	const secret = "hush-hush"
	_, err := Parse("vm.json", edited(t, secret, "admin", "token"))
	require.Error(t, err)
	require.NotContains(t, err.Error(), secret)
}

func TestDuplicateFieldIsRejected(t *testing.T) {
	for _, c := range []struct{ from, to, pointer string }{
		{`"vm":`, `"vm": {}, "vm":`, "/vm"},
		{`"token":`, `"token": "0123456789abcdef", "token":`, "/admin/token"},
		{`["change-me-change-me"]`, `[{"a": 1, "a": 2}]`, "/peers/keys/0/a"},
	} {
		require.Contains(t, Example, c.from)
		_, err := Parse("vm.json", []byte(strings.Replace(Example, c.from, c.to, 1)))
		var fieldErr *FieldError
		require.ErrorAs(t, err, &fieldErr)
		require.Equal(t, c.pointer, fieldErr.Pointer)
		require.Contains(t, fieldErr.Expected, "duplicate")
	}
	require.Empty(t, findDuplicate([]byte(`{"a": {"b": [1, {"a": 1}]}, "b": "a"}`)))
}

func TestMalformedFilesAreRejected(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", Example + "{}"} {
		_, err := Parse("vm.json", []byte(text))
		var fieldErr *FieldError
		require.ErrorAs(t, err, &fieldErr, text)
		require.True(t, strings.HasPrefix(fieldErr.Error(), "vm.json: /: "), fieldErr.Error())
	}
	_, err := Load("no-such-file.json")
	var fieldErr *FieldError
	require.ErrorAs(t, err, &fieldErr)
}

func TestEveryFieldIsDescribed(t *testing.T) {
	known := make(map[string]bool)
	for _, f := range schemaFields() {
		require.NotEmpty(t, f.description, pointer(f.path))
		known[pointer(f.path)] = true
		last := f.path[len(f.path)-1]
		for suffix, unit := range map[string]string{"_ms": "ms", "_bytes": "bytes"} {
			if strings.HasSuffix(last, suffix) {
				require.Equal(t, unit, f.unit, pointer(f.path))
			}
		}
	}
	// Every field of Settings must be in the schema.
	for p := range defaultValues() {
		require.True(t, known[p], p)
	}
}

func TestDefaultsMeetTheSchema(t *testing.T) {
	s, err := Parse("example.json", []byte(Example))
	require.NoError(t, err)
	data, err := json.Marshal(s)
	require.NoError(t, err)
	reparsed, err := Parse("defaults.json", data)
	require.NoError(t, err)
	require.Equal(t, s, reparsed)
}
