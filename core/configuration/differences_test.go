package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDifferencesAreThoseOfTheMeaning guards against differences of the text that have no
// effect being reported, and against lost ones.
func TestDifferencesAreThoseOfTheMeaning(t *testing.T) {
	build := func(files ...File) *Document {
		t.Helper()
		_, doc, err := Build(append(files, File{"10-all.json", []byte(checkedFolder)}))
		require.NoError(t, err)
		return doc
	}
	before := build()
	for name, patch := range map[string]string{
		"order of a set":    `{"organisations":{"framers":{"services":["ledger-desk","scribe-pool"]}}}`,
		"written defaults":  `{"services":{"scribe-pool":{"bytes_per_token":4}},"endpoints":{"scribe-1":{"leaving":false}}}`,
		"default classes":   `{"length_classes":[{"name":"short","max_tokens":4096},{"name":"medium","max_tokens":32768},{"name":"long","max_tokens":262144,"low":true},{"name":"oversize","low":true}]}`,
		"digits of numbers": `{"limits":{"tokens_per_second":1.0e3}}`,
	} {
		list, err := Differences(before, build(File{"20-change.json", []byte(patch)}))
		require.NoError(t, err)
		require.Empty(t, list, name)
	}
	list, err := Differences(before, build(File{"20-change.json", []byte(`{"services":{"scribe-pool":{"max_timeout_ms":50000}},"endpoints":{"ledger-1":null}}`)}))
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Equal(t, "/endpoints/ledger-1", list[0].Pointer)
	require.Equal(t, "changed: /services/scribe-pool/max_timeout_ms: 60000 -> 50000", list[1].String())
	require.Equal(t, []string{"scribe-pool", "ledger-desk"}, before.Organisations["framers"].Services, "the document itself is not modified")
}
