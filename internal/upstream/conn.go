package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cornelsaddle.example/cornelsaddle/core/reach"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// idleMargin is subtracted from the endpoint's keep-alive timeout, so that no
	// request is sent on a connection that the endpoint is about to close.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// states no keep-alive timeout.
	defaultIdleTimeout = 2 * time.Second
)

// epoch is the time from which the times of connections count, by the monotonic clock.
var epoch = time.Now()

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	// r reads from the connection through head.
	r    *bufio.Reader
	head *headReader
	// path is that to the endpoint, and relayed the connection through another VM; nil on
	// this VM's own path.
	path    reach.Path
	paths   *paths
	relayed RelayedConn
	// heard is when the last bytes arrived, or the last request was written, and lost is set
	// when the request was given up as the path is lost.
	heard atomic.Int64
	lost  atomic.Bool
	// onLost is called in place of giving the request up; nil for none.
	onLost atomic.Pointer[func()]
	// checkedAt is when the path was last checked for the request in flight; the transport's
	// lock guards it.
	checkedAt time.Time
	// sent and received count the bytes since the exchange began.
	sent, received atomic.Int64
	// used is set when a response was received on the connection.
	used bool
	// idleUntil is the time from which the idle connection must not be reused.
	idleUntil time.Time
}

func newConn(c net.Conn, path reach.Path, known *paths) *conn {
	opened := &conn{Conn: c, path: path, paths: known}
	opened.head = &headReader{conn: opened}
	opened.r = bufio.NewReaderSize(opened.head, readBuffer)
	opened.hear()
	return opened
}

// hear records that the connection is not silent.
func (c *conn) hear() { c.heard.Store(int64(time.Since(epoch))) }

// silence returns the time since the last bytes arrived or the last request was written.
func (c *conn) silence() time.Duration { return time.Since(epoch) - time.Duration(c.heard.Load()) }

// giveUp ends the request in flight, as the path is lost, or calls onLost in place of that.
func (c *conn) giveUp() {
	if handle := c.onLost.Load(); handle != nil {
		(*handle)()
		return
	}
	c.lost.Store(true)
	_ = c.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if n > 0 && c.relayed == nil {
		c.hear()
		c.paths.reached(c.path)
	}
	if err != nil && c.lost.Load() {
		return n, errors.WithStack(&PathLostError{})
	}
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	c.hear()
	return n, errors.WithStack(err)
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
