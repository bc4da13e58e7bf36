package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// routes returns a document of the shape of a configuration with a number of routes.
func routes(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"version":7,"routes":[`)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"host-%d.example","path_prefix":"/path/%d/","kind":"streaming","service":"service-%d","timeout_ms":%d,"max_attempts":2},`, i, i%7, i*31, i%5, 1000+i%13)
	}
	return []byte(b.String() + "{}]}")
}

// TestLargePagesArePacked checks that a configuration takes a quarter of its size, and
// less, between VMs, and arrives as it was, as do rows that are no text, and tombstones.
func TestLargePagesArePacked(t *testing.T) {
	want := []provider.Row{
		{Key: "config", Value: routes(130), Version: 9, Epoch: 2},
		{Key: "bytes", Value: []byte{0xff, 0, 0xfe}, Version: 8, Epoch: 2},
		{Key: "gone", Version: 7, Removed: true, Epoch: 2},
		{Key: "empty", Version: 6, Epoch: 2},
	}
	m := encodePage(page{Page: provider.Page{Rows: want, Version: 9, Epoch: 2}}, true)
	plain, err := json.Marshal(m)
	require.NoError(t, err)
	m.pack()
	require.Empty(t, m.Rows)
	packed, err := json.Marshal(m)
	require.NoError(t, err)
	require.Less(t, len(packed), len(plain)/4)

	var received pageMessage
	require.NoError(t, json.Unmarshal(packed, &received))
	require.NoError(t, received.unpack())
	require.Equal(t, want, received.page().Rows)
	require.NoError(t, received.unpack(), "there is nothing more to unpack")
}

// TestSmallPagesAreNotPacked checks that pages of a few rows of endpoints go as they are.
func TestSmallPagesAreNotPacked(t *testing.T) {
	m := encodePage(page{Page: provider.Page{Rows: []provider.Row{row("k", "small", 3)}, Version: 3}}, false)
	m.pack()
	require.Empty(t, m.Packed)
	require.Len(t, m.Rows, 1)
}

// TestPackedOnlyOnRequest checks that a VM that doesn't ask for packed rows gets plain ones.
func TestPackedOnlyOnRequest(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", string(routes(130)), 2))
	c.awaitAll(t, "k", string(routes(130)))
	a := c.followers["a"]
	require.Empty(t, a.serve(t.Context(), readMessage{}).Packed)
	require.NotEmpty(t, a.serve(t.Context(), readMessage{Packed: true}).Packed)
}

// TestUnreadablePackedRows checks that rows that are cut off, that are no rows, or that
// unpack without end, are an error and change nothing.
func TestUnreadablePackedRows(t *testing.T) {
	deflated := func(text string) []byte {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		require.NoError(t, err)
		_, err = w.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, w.Close())
		return b.Bytes()
	}
	value := strings.Repeat("x", 2000)
	whole := deflated(`[{"k":"a","n":2000,"v":1}]` + "\n" + value)
	for name, packed := range map[string][]byte{
		"cut off": whole[:len(whole)/2], "no rows": deflated(`{"k":1}`), "not deflated": []byte("rows"),
		"too long": deflated(`[{"k":"a","n":1999,"v":1}]` + "\n" + value), "too short": deflated(`[{"k":"a","n":2001,"v":1}]` + "\n" + value),
		"negative":    deflated(`[{"k":"a","n":2001,"v":1},{"k":"b","n":-1,"v":1}]` + "\n" + value),
		"without end": deflated("[" + strings.Repeat(" ", maxUnpackedBytes+1) + "]"),
	} {
		m := pageMessage{Packed: packed, Version: 3}
		require.Error(t, m.unpack(), name)
		require.Empty(t, m.Rows, name)
	}
	m := pageMessage{Packed: whole, Version: 3}
	require.NoError(t, m.unpack())
	require.Equal(t, []rowMessage{{Key: "a", Value: []byte(value), Version: 1}}, m.Rows)
}

// BenchmarkPack measures one page with a configuration of 30 kB, packed and unpacked.
func BenchmarkPack(b *testing.B) {
	value := routes(200)
	for b.Loop() {
		m := pageMessage{Rows: []rowMessage{{Key: "config", Value: value, Version: 1}}}
		m.pack()
		if err := m.unpack(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "B/page")
}
