package upstream

import (
	"bytes"
	"net"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/membudget"
)

const (
	// maxHeadBytes bounds the bytes of one response's status line and header, and maxHeadLines
	// their lines.
	maxHeadBytes = 64 << 10
	maxHeadLines = 1000
	// headCopies and headLineBytes are the memory that a head counts for while it is read and
	// passed on: copies of each of its bytes, and bytes of the parsed header's maps and slices
	// for each of its lines.
	headCopies    = 2
	headLineBytes = 256
)

// headReader reads from a connection. While it is limited, it bounds the bytes and lines that it
// reads, and takes memory for them.
type headReader struct {
	conn    net.Conn
	limited bool
	// remaining and lines are the bytes and lines that may still come.
	remaining, lines int
	// inLine is set inside a line, and ended after the blank line that ends the head.
	inLine, ended bool
	// memory counts the memory of the response, and taken is the part of it that is the current
	// head's, in bytes.
	memory *membudget.Holder
	taken  int
	// failure is why the head was not read on. The parser of heads does not always pass it on.
	failure error
}

// limit bounds what is read until unlimit. It begins a head; the one before is given up.
func (h *headReader) limit() {
	h.memory.Shrink(h.taken)
	h.limited, h.remaining, h.lines = true, maxHeadBytes, maxHeadLines
	h.inLine, h.ended, h.taken, h.failure = false, false, 0, nil
}

func (h *headReader) unlimit() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p) //nolint:wrapcheck // callers tell io.EOF from other errors
	}
	if h.remaining <= 0 {
		h.failure = errors.WithStack(&HeadTooLargeError{maxHeadBytes})
		return 0, h.failure
	}
	n, err := h.conn.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	if h.failure = h.count(p[:n]); h.failure != nil {
		return 0, h.failure
	}
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}

// count counts the bytes of a head, up to the blank line that ends it. The error is a
// TooManyLinesError or a membudget.UsedUpError.
func (h *headReader) count(b []byte) error {
	bytesRead, lines := 0, h.lines
	for rest := b; len(rest) > 0 && !h.ended; bytesRead = len(b) - len(rest) {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.inLine = h.inLine || !blank(rest)
			rest = nil
			continue
		}
		h.lines--
		h.ended = !h.inLine && blank(rest[:end])
		h.inLine = false
		rest = rest[end+1:]
	}
	if h.lines < 0 {
		return errors.WithStack(&TooManyLinesError{maxHeadLines})
	}
	needs := headCopies*bytesRead + headLineBytes*(lines-h.lines)
	if err := h.memory.Grow(needs); err != nil {
		return err
	}
	h.taken += needs
	return nil
}

// blank reports whether a line, or the begin of one, has no bytes but those that end it.
func blank(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }
