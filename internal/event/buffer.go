package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferLines bounds the lines that wait to be written.
const bufferLines = 4096

// Buffer is a writer that never blocks: lines wait in a bounded queue for a
// slower writer, and those that find it full are dropped and counted.
type Buffer struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup

	mu     sync.RWMutex
	closed bool
}

// NewBuffer returns a Buffer before the writer.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{w: w, lines: make(chan []byte, bufferLines)}
	b.done.Go(b.run)
	return b
}

// Write implements io.Writer. It takes one line, and drops it where there is no
// room.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since it was last asked.
func (b *Buffer) Dropped() int64 { return b.dropped.Swap(0) }

// Close writes what waits.
func (b *Buffer) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *Buffer) run() {
	for line := range b.lines {
		// Where the log itself can't be written there is nobody to tell.
		_, _ = b.w.Write(line)
	}
}
