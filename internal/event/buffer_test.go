package event

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// TestBufferNeverBlocks fills the queue while the underlying writer is blocked:
// the excess lines are dropped and counted, and the queued ones are written
// once the writer is released.
func TestBufferNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBuffer(w)
	const excess = 100
	for range bufferLines + excess {
		n, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := b.Dropped()
	// The writer may already have taken one line from the queue.
	require.InDelta(t, excess, dropped, 1)
	close(w.release)
	b.Close()
	require.Equal(t, int(bufferLines+excess-dropped), bytes.Count(w.b.Bytes(), []byte("line\n")))
	_, err := b.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, int64(1), b.Dropped())
}
