package event

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a writer that blocks until it is let go.
type stuck struct {
	let chan struct{}
	mu  sync.Mutex
	b   bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// TestBufferNeverBlocks fills the queue before a writer that is stuck: what is
// over is dropped and counted, and the rest is written in order.
func TestBufferNeverBlocks(t *testing.T) {
	w := &stuck{let: make(chan struct{})}
	b := NewBuffer(w)
	const over = 100
	for range bufferLines + over {
		n, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := b.Dropped()
	// One line may be with the writer already.
	require.InDelta(t, over, dropped, 1)
	close(w.let)
	b.Close()
	require.Equal(t, int(bufferLines+over-dropped), bytes.Count(w.b.Bytes(), []byte("line\n")))
	_, err := b.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, int64(1), b.Dropped())
}
