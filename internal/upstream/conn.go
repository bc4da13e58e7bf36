package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cornelsaddle.example/cornelsaddle/internal/dial"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the system
	// closes the connection (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe,
	// and the time between probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the system
	// closes the connection.
	keepAliveCount = 2
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// idleMargin is subtracted from the endpoint's keep-alive timeout, so that no
	// request is sent on a connection that the endpoint is about to close.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// states no keep-alive timeout.
	defaultIdleTimeout = 2 * time.Second
)

// maxHeadBytes bounds the bytes of one response's status line and header.
const maxHeadBytes = 64 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	// r reads from the connection through head.
	r       *bufio.Reader
	head    *headReader
	address string
	// sent and received count the bytes since the exchange began.
	sent, received atomic.Int64
	// used is set when a response was received on the connection.
	used bool
	// idleUntil is the time from which the idle connection must not be reused.
	idleUntil time.Time
}

// open opens a connection that the system closes when the endpoint stops
// acknowledging data or answering keep-alive probes.
func open(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := dial.WithRetry(ctx, d, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func newConn(c net.Conn, address string) *conn {
	opened := &conn{Conn: c, address: address}
	opened.head = &headReader{conn: opened}
	opened.r = bufio.NewReaderSize(opened.head, readBuffer)
	return opened
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, errors.WithStack(err)
}

// headReader reads from a connection and bounds the bytes that it reads while it is
// limited.
type headReader struct {
	conn      net.Conn
	limited   bool
	remaining int
}

// limit bounds the bytes read until unlimit.
func (h *headReader) limit(n int) { h.limited, h.remaining = true, n }

func (h *headReader) unlimit() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p) //nolint:wrapcheck // callers tell io.EOF from other errors
	}
	if h.remaining <= 0 {
		return 0, errors.WithStack(&HeadTooLargeError{maxHeadBytes})
	}
	n, err := h.conn.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failure)
}

// usable reports whether an idle connection can be reused: neither data, which
// would belong to no request, nor the end of the connection was received.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failure := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(failure, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// idleTimeout returns how long the connection may stay idle after the response
// and still be reused; zero if it must not be reused.
func idleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
