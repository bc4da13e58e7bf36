package endpoint

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBufferedSkipsEventsWithoutData checks that a comment or an empty event in the
// buffer is not reported as one that Next returns without waiting.
func TestBufferedSkipsEventsWithoutData(t *testing.T) {
	s := NewStream(io.NopCloser(strings.NewReader("data: 1\n\n: comment\n\nid: 5\n\n")))
	first, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, "1", string(first.Data))
	require.False(t, s.Buffered())
	s = NewStream(io.NopCloser(strings.NewReader("data: 1\n\n: comment\n\ndata: 2\n\n")))
	_, err = s.Next()
	require.NoError(t, err)
	require.True(t, s.Buffered())
	second, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, "2", string(second.Data))
}
