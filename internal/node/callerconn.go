package node

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// refusalTimeout bounds the time to refuse a connection over the limit,
	// including the reading of what the caller sent.
	refusalTimeout = 500 * time.Millisecond
	// maxRefusals bounds the concurrent refusals; further connections are
	// closed without a response.
	maxRefusals = 64
)

// callerListener limits the number of open connections and the time that a write
// may block on a slow caller.
type callerListener struct {
	net.Listener
	// maxOpen is the maximum number of open connections; zero for no limit.
	maxOpen int64
	// writeTimeout is the time limit of each write; zero for no limit.
	writeTimeout time.Duration
	// refusalResponse returns the encoded response to a connection over the
	// limit.
	refusalResponse func() []byte
	openCount       atomic.Int64
	refusalCount    atomic.Int64
	refusals        sync.WaitGroup
	closeOnce       sync.Once
}

// Accept implements net.Listener. It refuses connections over the limit.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if n := l.openCount.Add(1); l.maxOpen == 0 || n <= l.maxOpen {
			return &callerConn{Conn: c, listener: l}, nil
		}
		l.openCount.Add(-1)
		l.refuse(c)
	}
}

// Close implements net.Listener. It waits for the refusals in progress.
func (l *callerListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(l.refusals.Wait)
	return err
}

// refuse sends the refusal response to a connection over the limit and closes it,
// in a goroutine of its own.
func (l *callerListener) refuse(c net.Conn) {
	if l.refusalCount.Add(1) > maxRefusals {
		l.refusalCount.Add(-1)
		_ = c.Close()
		return
	}
	l.refusals.Go(func() {
		defer l.refusalCount.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := c.Write(l.refusalResponse()); err != nil {
			return
		}
		// The caller's data is read before the connection is closed: closing it
		// with unread bytes would reset it, and the response would be lost.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c)
	})
}

// callerConn is a caller's connection. Each write gets a new deadline.
type callerConn struct {
	net.Conn
	listener *callerListener
	closed   atomic.Bool
	aborted  atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if limit := c.listener.writeTimeout; limit > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	if c.aborted.Load() {
		return 0, errors.WithStack(net.ErrClosed)
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn. A deadline in the past aborts the write
// in progress and makes all later writes fail.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.aborted.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. The connection is removed from the listener's count
// once, also if Close is called repeatedly.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.openCount.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(syscall.EINVAL)
	}
	return sc.SyscallConn()
}
