package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveMerge is a direct transcription of the pseudocode in RFC 7386, section 2.
func naiveMerge(target, patch any) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	t, ok := target.(map[string]any)
	if !ok {
		t = map[string]any{}
	}
	for name, value := range p {
		if value == nil {
			delete(t, name)
			continue
		}
		t[name] = naiveMerge(t[name], value)
	}
	return t
}

func object(data []byte) (map[string]any, bool) {
	var m map[string]any
	return m, json.Unmarshal(data, &m) == nil && m != nil
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1}}`), []byte(`{"a":{"b":null,"c":[1,null]}}`))
	f.Add([]byte(`{"a":[1]}`), []byte(`{"a":{"b":{"c":null}}}`))
	f.Add([]byte(`{}`), []byte(`{"a":null,"b":{"c":null}}`))
	f.Add([]byte(`{"a":1e400}`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		merged, err := Merge([]File{{"10", a}, {"20", b}})
		x, okX := object(a)
		y, okY := object(b)
		if !okX || !okY {
			return
		}
		require.NoError(t, err)
		want := naiveMerge(naiveMerge(map[string]any{}, x), y)
		got, ok := object(merged)
		require.True(t, ok)
		require.True(t, reflect.DeepEqual(want, any(got)), "%s + %s = %s", a, b, merged)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"organisations":{}}`))
	f.Add([]byte(`{"services":{"a":{"kind":"model","deploy":null}}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
		_, _, _ = Build([]File{{"10", data}})
	})
}

const validFolder = `{
  "organisations": {"framers": {"key_digests": ["` + digestA + `"], "weight": 1, "services": ["scribe-pool"]}},
  "services": {
    "scribe-pool": {"kind": "model", "max_timeout_ms": 1000},
    "ledger-desk": {"kind": "plain", "max_timeout_ms": 1000, "operations": {"deposit": {"idempotent": false}}}
  },
  "endpoints": {
    "scribe-1": {"service": "scribe-pool", "address": "10.0.0.1:80", "failure_domain": "upanga", "memory_tokens": 400000}
  },
  "limits": {"retry_budget": 0.2}
}`

const digestA = "64ec77b5351762131b2fda489a29c2bdb1067a84580ab3eca661182d4ce70179"

func TestBuildNamesFileAndPointer(t *testing.T) {
	cases := []struct {
		name, patch, pointer, expected string
	}{
		{"unknown service of an organisation", `{"organisations":{"framers":{"services":["ink"]}}}`, "/organisations/framers/services/0", "name of a service"},
		{"unknown service of an endpoint", `{"endpoints":{"scribe-1":{"service":"ink"}}}`, "/endpoints/scribe-1/service", "name of a service"},
		{"no endpoint", `{"services":{"ink":{"kind":"model","max_timeout_ms":1}}}`, "/services/ink", "got none"},
		{"too little memory", `{"endpoints":{"scribe-1":{"memory_tokens":1000}}}`, "/services/scribe-pool", "holds 32768 tokens"},
		{"limits over the total", `{"limits":{"tokens_per_second":5},"organisations":{"framers":{"tokens_per_second":6}}}`, "/limits/tokens_per_second", "sum"},
		{"a share over one", `{"limits":{"retry_budget":1.5}}`, "/limits/retry_budget", "maximum"},
		{"the same address twice", `{"endpoints":{"scribe-2":{"service":"scribe-pool","address":"10.0.0.1:80","failure_domain":"upanga"}}}`, "/endpoints/scribe-2/address", "of its own"},
		{"an impossible address", `{"endpoints":{"scribe-1":{"address":"10.0.0.300:80"}}}`, "/endpoints/scribe-1/address", "IPv4"},
		{"a key instead of a digest", `{"organisations":{"framers":{"key_digests":["secret"]}}}`, "/organisations/framers/key_digests/0", "match pattern"},
		{"one key, two organisations", `{"organisations":{"gilders":{"key_digests":["` + digestA + `"],"weight":1,"services":[]}}}`, "/organisations/gilders/key_digests/0", "key of its own"},
		{"an unknown field", `{"limits":{"retries":2}}`, "/limits/retries", "no such field"},
		{"a missing field", `{"endpoints":{"scribe-1":{"address":null}}}`, "/endpoints/scribe-1/address", "got none"},
		{"a wrong type", `{"limits":{"retry_budget":"half"}}`, "/limits/retry_budget", "number"},
		{"a bad name", `{"services":{"Big Pool":{"kind":"model","max_timeout_ms":1}}}`, "/services/Big Pool", "lower-case"},
		{"operations of a model", `{"services":{"scribe-pool":{"operations":{"x":{"idempotent":true}}}}}`, "/services/scribe-pool/operations", "no operations"},
		{"classes out of order", `{"length_classes":[{"name":"a","max_tokens":9},{"name":"b","max_tokens":3},{"name":"c"}]}`, "/length_classes/1/max_tokens", "more than"},
	}
	_, _, err := Build([]File{{"10-all.json", []byte(validFolder)}})
	require.NoError(t, err)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := Build([]File{{"20-change.json", []byte(tc.patch)}, {"10-all.json", []byte(validFolder)}})
			var invalid *InvalidError
			require.True(t, errors.As(err, &invalid), "%v", err)
			var lines []string
			for _, v := range invalid.Violations {
				lines = append(lines, v.String())
				if v.Pointer == tc.pointer && strings.Contains(v.Expected, tc.expected) {
					if !strings.HasPrefix(tc.name, "too little") && tc.name != "a missing field" {
						require.Equal(t, "20-change.json", v.File)
					}
					return
				}
			}
			require.Fail(t, "not found", strings.Join(lines, "\n"))
		})
	}
}

func TestMergeRejectsNonObject(t *testing.T) {
	for _, data := range []string{`[]`, `null`, `"x"`, `{`, ``} {
		_, err := Merge([]File{{"30-x.json", []byte(data)}})
		var fileError *FileError
		require.True(t, errors.As(err, &fileError), data)
		require.Equal(t, "30-x.json", fileError.File)
	}
}

// TestSchemaCoversEveryField checks that the schema's properties and the JSON
// names of the Go types are the same.
func TestSchemaCoversEveryField(t *testing.T) {
	data, err := schemaFile.ReadFile(schemaName)
	require.NoError(t, err)
	var s struct {
		Defs       map[string]struct{ Properties map[string]any } `json:"$defs"`
		Properties map[string]any
	}
	require.NoError(t, json.Unmarshal(data, &s))
	types := map[string]any{
		"organisation": Organisation{}, "service": Service{}, "operation": Operation{}, "deploy": Deploy{},
		"endpoint": Endpoint{}, "length_class": LengthClass{}, "limits": Limits{},
	}
	require.ElementsMatch(t, jsonNames(Document{}), sortedKeys(s.Properties))
	for def, v := range types {
		require.ElementsMatch(t, jsonNames(v), sortedKeys(s.Defs[def].Properties), "add the field to schema.json, %s", def)
	}
}

func TestPromptTokensUsesBytesPerToken(t *testing.T) {
	require.EqualValues(t, 1001, Service{}.PromptTokens(4000))
	require.EqualValues(t, 2001, Service{BytesPerToken: 2}.PromptTokens(4000))
}

func TestPageDescribesEveryField(t *testing.T) {
	for _, line := range strings.Split(FieldReference(), "\n") {
		if strings.HasPrefix(line, "| `") {
			require.False(t, strings.HasSuffix(line, "|  |"), line)
		}
	}
}

func jsonNames(v any) []string {
	count := reflect.TypeOf(v).NumField()
	names := make([]string, 0, count)
	for i := range count {
		name, _, _ := strings.Cut(reflect.TypeOf(v).Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func drawFolder(t *rapid.T, label string, base map[string]string) map[string]string {
	out := make(map[string]string)
	for k, v := range base {
		out[k] = v
	}
	for i := range rapid.IntRange(0, 2).Draw(t, label+" changes") {
		name := fmt.Sprintf("%d.json", rapid.IntRange(1, 4).Draw(t, fmt.Sprint(label, i)))
		if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
			delete(out, name)
			continue
		}
		out[name] = fmt.Sprintf(`{"f":{"%c":%d}}`, rapid.RuneFrom([]rune("abcd")).Draw(t, "field"), rapid.IntRange(1, 3).Draw(t, "value"))
	}
	return out
}

func fileList(m map[string]string) []File {
	list := make([]File, 0, len(m))
	for _, k := range sortedKeys(m) {
		list = append(list, File{k, json.RawMessage(m[k])})
	}
	return list
}

// fieldValues merges the files and returns the values under "f" by name.
func fieldValues(t require.TestingT, files []File) map[string]any {
	data, err := Merge(files)
	require.NoError(t, err)
	var d struct {
		F map[string]any `json:"f"`
	}
	require.NoError(t, json.Unmarshal(data, &d))
	return d.F
}

// lostValue returns the name of a value that differs between base and changed
// and that the result does not have as changed, or "" if there is none.
func lostValue(base, changed, result map[string]any) string {
	for k := range keyUnion(base, changed) {
		if !reflect.DeepEqual(base[k], changed[k]) && !reflect.DeepEqual(result[k], changed[k]) {
			return k
		}
	}
	return ""
}

func keyUnion(a, b map[string]any) map[string]any {
	all := make(map[string]any)
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

func TestRebaseLosesNoChange(t *testing.T) {
	joined, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		base := drawFolder(t, "base", map[string]string{"1.json": `{"f":{"a":1}}`, "2.json": `{"f":{"b":1}}`})
		theirs, mine := drawFolder(t, "theirs", base), drawFolder(t, "mine", base)
		result, err := Rebase(fileList(base), fileList(theirs), fileList(mine))
		if err != nil {
			var conflict *ConflictError
			require.True(t, errors.As(err, &conflict))
			refused++
			return
		}
		joined++
		b, r := fieldValues(t, fileList(base)), fieldValues(t, result)
		require.Empty(t, lostValue(b, fieldValues(t, fileList(theirs)), r))
		require.Empty(t, lostValue(b, fieldValues(t, fileList(mine)), r))
	})
	require.Positive(t, joined)
	require.Positive(t, refused)
}

// TestLastWriterWinsIsCaught checks the oracle: it must detect lost values when
// the later folder replaces the earlier one without a merge.
func TestLastWriterWinsIsCaught(t *testing.T) {
	lost := 0
	rapid.Check(t, func(t *rapid.T) {
		base := drawFolder(t, "base", map[string]string{"1.json": `{"f":{"a":1}}`, "2.json": `{"f":{"b":1}}`})
		theirs, mine := drawFolder(t, "theirs", base), drawFolder(t, "mine", base)
		if lostValue(fieldValues(t, fileList(base)), fieldValues(t, fileList(theirs)), fieldValues(t, fileList(mine))) != "" {
			lost++
		}
	})
	require.Positive(t, lost)
}

func TestDiffPatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, err := Merge(fileList(drawFolder(t, "from", nil)))
		require.NoError(t, err)
		to, err := Merge(fileList(drawFolder(t, "to", nil)))
		require.NoError(t, err)
		patch, err := Diff(from, to)
		require.NoError(t, err)
		got, err := Patch(from, patch)
		require.NoError(t, err)
		require.Equal(t, string(to), string(got))
	})
}
