package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

const digestB = "75c83c0b513163bdcb6ce198d1f4d044c87f1f0fea411c73cbc297df5d42d9da"

const checkedFolder = `{
  "organisations": {"framers": {"key_digests": ["` + digestA + `"], "weight": 1, "tokens_per_second": 900, "services": ["scribe-pool", "ledger-desk"]}},
  "services": {
    "scribe-pool": {"kind": "model", "max_timeout_ms": 60000},
    "ledger-desk": {"kind": "plain", "max_timeout_ms": 1000, "operations": {"deposit": {"idempotent": false}}}
  },
  "endpoints": {
    "scribe-1": {"service": "scribe-pool", "address": "10.0.0.1:80", "failure_domain": "upanga", "memory_tokens": 400000, "prefill_rate": 1000},
    "ledger-1": {"service": "ledger-desk", "address": "10.0.0.2:80", "failure_domain": "upanga"}
  },
  "limits": {"retry_budget": 0.2, "tokens_per_second": 1000, "call_retention_hours": 1}
}`

// TestCheckFindsFaultsOfValidFolders guards against a rule that reports nothing, the wrong
// place, or more than its own finding.
func TestCheckFindsFaultsOfValidFolders(t *testing.T) {
	cases := []struct {
		name, patch, pointer, text string
		kind                       findings.Kind
	}{
		{"organisation without services", `{"organisations":{"gilders":{"key_digests":["` + digestB + `"],"weight":1,"tokens_per_second":1,"services":[]}}}`,
			"/organisations/gilders/services", "no service", findings.NeverMatches},
		{"organisation without keys", `{"organisations":{"framers":{"key_digests":[]}}}`, "/organisations/framers/key_digests", "no API key", findings.NeverMatches},
		{"unused service", `{"organisations":{"framers":{"services":["scribe-pool"]}}}`, "/services/ledger-desk", "no organisation", findings.NeverMatches},
		{"no endpoint", `{"endpoints":{"ledger-1":null}}`, "/services/ledger-desk", "no endpoint", findings.NeverMatches},
		{"all endpoints leave", `{"endpoints":{"ledger-1":{"leaving":true}}}`, "/services/ledger-desk", "no endpoint", findings.NeverMatches},
		{"total over the rates", `{"limits":{"tokens_per_second":1001}}`, "/limits/tokens_per_second", "1001", findings.Contradiction},
		{"quota over the rates", `{"limits":{"tokens_per_second":null},"organisations":{"framers":{"tokens_per_second":1002}}}`,
			"/organisations/framers/tokens_per_second", "1002", findings.Contradiction},
		{"no quota under a total", `{"organisations":{"framers":{"tokens_per_second":0}}}`, "/organisations/framers/tokens_per_second", "no limit", findings.Contradiction},
		{"timeout under the prefill", `{"services":{"scribe-pool":{"max_timeout_ms":32767}}}`, "/services/scribe-pool/max_timeout_ms", "32768 ms", findings.Contradiction},
		{"records shorter than a call", `{"services":{"ledger-desk":{"max_timeout_ms":3600000}}}`, "/limits/call_retention_hours", "1 h", findings.Contradiction},
	}
	whole := File{"10-all.json", []byte(checkedFolder)}
	doc, list, err := Check([]File{whole})
	require.NoError(t, err)
	require.NotNil(t, doc)
	require.Empty(t, list)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, list, err := Check([]File{{"20-change.json", []byte(tc.patch)}, whole})
			require.NoError(t, err)
			require.Len(t, list, 1)
			require.Equal(t, tc.kind, list[0].Kind)
			require.Equal(t, tc.pointer, list[0].Pointer)
			require.Contains(t, list[0].Text, tc.text)
			require.NotEmpty(t, list[0].File)
		})
	}
}

// TestCheckIgnoresUnstatedRates guards against findings from rates that the endpoints do
// not state: the default of an estimate is no limit.
func TestCheckIgnoresUnstatedRates(t *testing.T) {
	_, list, err := Check([]File{
		{"10-all.json", []byte(checkedFolder)},
		{"20-change.json", []byte(`{"limits":{"tokens_per_second":9000},"endpoints":{"scribe-1":{"prefill_rate":null}}}`)},
	})
	require.NoError(t, err)
	require.Empty(t, list)
}

// TestCheckReportsWhatBuildRefuses guards against a check that passes a folder that
// validate refuses, or that loses the place.
func TestCheckReportsWhatBuildRefuses(t *testing.T) {
	for name, tc := range map[string]struct{ data, pointer string }{
		"schema":    {`{"limits":{"retries":2}}`, "/limits/retries"},
		"reference": {`{"organisations":{"framers":{"services":["ink"]}}}`, "/organisations/framers/services/0"},
		"syntax":    {`{"limits":`, ""},
	} {
		doc, list, err := Check([]File{{"10-all.json", []byte(checkedFolder)}, {"20-change.json", []byte(tc.data)}})
		require.NoError(t, err, name)
		require.Nil(t, doc, name)
		require.Len(t, list, 1, name)
		require.Equal(t, findings.Invalid, list[0].Kind, name)
		require.Equal(t, "20-change.json", list[0].File, name)
		require.Equal(t, tc.pointer, list[0].Pointer, name)
	}
}
