package endpoint

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20260104")
	_ = flag.Set("rapid.nofailfile", "true")
}

// randomReader returns the body in reads of random sizes.
type randomReader struct {
	t    *rapid.T
	body []byte
}

func (c *randomReader) Read(p []byte) (int, error) {
	if len(c.body) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(c.body), rapid.IntRange(1, 9000).Draw(c.t, "read"))
	copy(p, c.body[:n])
	c.body = c.body[n:]
	return n, nil
}

// naiveEvents parses a complete body by splitting it at blank lines.
func naiveEvents(body string) []Event {
	var out []Event
	blocks := strings.Split(strings.ReplaceAll(body, "\r\n", "\n"), "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		var e Event
		for _, line := range strings.Split(block, "\n") {
			if v, ok := strings.CutPrefix(line, "id:"); ok {
				e.ID = []byte(strings.TrimPrefix(v, " "))
			}
			if v, ok := strings.CutPrefix(line, "data:"); ok {
				e.Data = []byte(strings.TrimPrefix(v, " "))
			}
		}
		if e.Data != nil {
			out = append(out, e)
		}
	}
	return out
}

// TestEventsEqualNaive compares the reader with naiveEvents, for reads of random
// sizes and events longer than the initial buffer.
func TestEventsEqualNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var body bytes.Buffer
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			if rapid.Bool().Draw(t, "id") {
				fmt.Fprintf(&body, "id: r/1/%d%s", i, end)
			}
			if rapid.Bool().Draw(t, "comment") {
				fmt.Fprintf(&body, ": ping%s", end)
			}
			if rapid.Bool().Draw(t, "data") {
				fmt.Fprintf(&body, "data: %s%s", strings.Repeat("x", rapid.SampledFrom([]int{0, 10, 200, 10_000}).Draw(t, "length")), end)
			}
			body.WriteString(end)
		}
		body.WriteString(rapid.SampledFrom([]string{"", "data: unfinished" + end}).Draw(t, "tail"))
		r := newEventReader(&randomReader{t, body.Bytes()})
		var got []Event
		for {
			e, err := r.next()
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			got = append(got, Event{bytes.Clone(e.ID), bytes.Clone(e.Data)})
		}
		want := naiveEvents(body.String())
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, string(want[i].ID), string(got[i].ID))
			require.Equal(t, string(want[i].Data), string(got[i].Data))
		}
	})
}

func TestEventReaderWithOneByteReads(t *testing.T) {
	r := newEventReader(iotest.OneByteReader(strings.NewReader("id: a\ndata: b\n\n")))
	e, err := r.next()
	require.NoError(t, err)
	require.Equal(t, "a", string(e.ID))
	require.Equal(t, "b", string(e.Data))
}

func TestEventTooLong(t *testing.T) {
	r := newEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes)))
	_, err := r.next()
	var size *EventSizeError
	require.ErrorAs(t, err, &size)
}
