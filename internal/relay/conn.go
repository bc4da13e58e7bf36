package relay

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection to an endpoint through another VM.
type Conn struct {
	net.Conn
	vm     string
	domain string
	r      *bufio.Reader
	// remaining is the number of bytes of the current frame of data that are not read yet.
	remaining int
	ended     error
	// sent counts the bytes of the request that were written to the VM between, and frames their
	// frames; forwarded are the bytes that it had written to the endpoint at the regular end of
	// its connection, -1 if it did not say so.
	sent, frames atomic.Int64
	forwarded    int64
	// writing serialises the frames.
	writing sync.Mutex
}

func newConn(c net.Conn, vm, domain string) *Conn {
	return &Conn{Conn: c, vm: vm, domain: domain, r: bufio.NewReader(c), forwarded: -1}
}

// Via returns the VM between, and its failure domain.
func (c *Conn) Via() (vm, domain string) { return c.vm, c.domain }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := writeData(c.Conn, p); err != nil {
		return 0, err
	}
	c.sent.Add(int64(len(p)))
	c.frames.Add(int64((len(p) + maxPayload - 1) / maxPayload))
	return len(p), nil
}

// Read implements net.Conn. It returns io.EOF only where the endpoint has ended its connection
// regularly, and otherwise a NotSentError, a BrokenError or a LostError.
func (c *Conn) Read(p []byte) (int, error) {
	for c.remaining == 0 && c.ended == nil {
		c.ended = c.nextFrame()
	}
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.r.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err != nil {
		c.ended = c.lost(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.ended
}

// nextFrame reads the header of the next frame; the error ends the connection.
func (c *Conn) nextFrame() error {
	t, n, err := readHeader(c.r)
	if err != nil {
		return c.lost(err)
	}
	switch t {
	case frameData:
		c.remaining = n
		return nil
	case frameEnd:
		return c.end(n)
	case frameNotSent:
		return errors.WithStack(&NotSentError{c.vm})
	case frameBroken:
		return errors.WithStack(&BrokenError{c.vm})
	case frameObserved:
	}
	return c.lost(&FrameError{byte(t), uint32(n)})
}

// end reads the payload of a frameEnd.
func (c *Conn) end(n int) error {
	if n == 0 {
		// A VM of an earlier build sends none.
		return io.EOF
	}
	var b [countBytes]byte
	if n != len(b) {
		return c.lost(&FrameError{byte(frameEnd), uint32(n)})
	}
	if _, err := io.ReadFull(c.r, b[:]); err != nil {
		return c.lost(err)
	}
	c.forwarded = int64(binary.BigEndian.Uint64(b[:]))
	return io.EOF
}

// RequestForwarded reports whether all that was written had been written to the endpoint when its
// connection ended. It must be called after Read has returned io.EOF. A VM of an earlier build
// doesn't tell; it forwards nothing of a response before it has written the first frame, so that the
// answer is known for a request of one frame.
func (c *Conn) RequestForwarded() bool {
	if c.forwarded < 0 {
		return c.frames.Load() <= 1
	}
	return c.forwarded >= c.sent.Load()
}

func (c *Conn) lost(err error) error { return errors.WithStack(&LostError{c.vm, err}) }

// Observed tells the VM between what the response says of its endpoint: the time for which it
// wants no requests, and whether it leaves.
func (c *Conn) Observed(retryAfter time.Duration, leaving bool) error {
	b, err := json.Marshal(observedMessage{RetryAfter: retryAfter.Milliseconds(), Leaving: leaving})
	if err != nil {
		return errors.WithStack(err)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return writeFrame(c.Conn, frameObserved, b)
}
