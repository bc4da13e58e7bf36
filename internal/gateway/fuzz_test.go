package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	eventstream "cornelsaddle.example/cornelsaddle/core/stream"
)

// FuzzEvents splits whatever an endpoint may send into complete events and the rest,
// and tracks their IDs. The result does not depend on how the bytes arrive.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(event1+event2), 3)
	f.Add([]byte("id:\r\n\r\nid: \xff\n\ndata"), 7)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		whole := &eventstream.Scanner{}
		end := whole.Scan(b)
		require.True(t, end == 0 || b[end-1] == '\n' || b[end-1] == '\r')
		x := &exchange{}
		x.trackEvents(b[:end])
		require.NotContains(t, x.stream.position.LastID, "\r")
		if at < 0 || at > len(b) {
			return
		}
		cut := &eventstream.Scanner{}
		split := cut.Scan(b[:at])
		if rest := cut.Scan(b[at:]); rest > 0 {
			split = at + rest
		}
		require.Equal(t, end, split)
		require.Equal(t, whole.InEvent(), cut.InEvent())
	})
}
