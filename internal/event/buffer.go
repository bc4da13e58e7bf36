package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferLines is the capacity of the queue, in lines.
const bufferLines = 4096

// Buffer is a non-blocking io.Writer: it queues lines for a slower writer in a
// bounded queue, and drops and counts lines when the queue is full.
type Buffer struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup

	mu     sync.RWMutex
	closed bool
}

// NewBuffer returns a Buffer that writes to w from a goroutine of its own,
// until Close.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{w: w, lines: make(chan []byte, bufferLines)}
	b.done.Go(b.run)
	return b
}

// Write implements io.Writer. It queues one line, or drops it if the queue is
// full or the Buffer is closed; it never returns an error.
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

// Dropped returns the number of lines dropped since the previous call.
func (b *Buffer) Dropped() int64 { return b.dropped.Swap(0) }

// Close writes the queued lines and waits until they are written.
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
		// A failure to write the log can't be logged, so it is ignored.
		_, _ = b.w.Write(line)
	}
}
