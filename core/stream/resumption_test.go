package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResumptionGoesOnAtItsPosition checks which first event continues a stream, by the IDs of
// the events before it.
func TestResumptionGoesOnAtItsPosition(t *testing.T) {
	for _, c := range []struct {
		delivered []string
		events    string
		proven    bool
	}{
		{[]string{"1", "2"}, "id: 3\ndata: x\n\n", true},
		{[]string{"1", "2"}, "id:3\r\ndata: x\r\n\r\n", true},
		{[]string{"1", "2"}, ": comment\n\nversion: 2\nid: 3\ndata: x\n\n", true},
		{[]string{"1", "2"}, "id: 4\n\n", false},
		{[]string{"1", "2"}, "id: 2\n\n", false},
		{[]string{"1", "2"}, "data: x\n\nid: 3\n\n", false},
		{[]string{"10", "20"}, "id: 30\n\n", true},
		{[]string{"10", "20"}, "id: 15\n\n", false},
		{[]string{"7"}, "id: 9\n\n", true},
		{[]string{"7"}, "id: 7\n\n", false},
		{[]string{"a", "b"}, "id: c\n\n", true},
		{[]string{"a", "b"}, "id: b\n\n", false},
		{[]string{"1", "2"}, "id: 99999999999999999999\n\n", false},
		{[]string{"1", "2"}, "HTTP/1.1 500 Oops\r\n\r\n", false},
	} {
		var p Position
		for _, id := range c.delivered {
			p.Advance(id)
		}
		r := NewResumption(p)
		require.Equal(t, c.proven, r.Accept([]byte(c.events)), "%v %q", c.delivered, c.events)
		require.Equal(t, c.proven, r.Proven())
	}
}

// TestCommentsProveNoResumption checks that comments may be delivered, and prove nothing.
func TestCommentsProveNoResumption(t *testing.T) {
	var p Position
	p.Advance("1")
	r := NewResumption(p)
	require.True(t, r.Accept([]byte(": comment\n\n\n")))
	require.False(t, r.Proven())
	require.False(t, r.Accept([]byte("data: x\n\n")))
	require.True(t, r.Accept([]byte("id: 2\n\n")))
	require.True(t, r.Accept([]byte("data: more\n\n")), "the rest is the endpoint's")
}
