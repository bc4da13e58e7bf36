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
	// refusalTimeout bounds the answer to a connection over the limit.
	refusalTimeout = 500 * time.Millisecond
	// maxRefusals bounds the refusals under way; further connections are
	// closed without an answer.
	maxRefusals = 64
)

// callerListener bounds the connections that are open at once, and the time
// that a write may wait for a slow caller.
type callerListener struct {
	net.Listener
	// max is the most connections open at once; zero for no limit.
	max int64
	// writeTimeout is the longest that a write may wait; zero for no limit.
	writeTimeout time.Duration
	// refusal makes the answer to a connection over the limit.
	refusal   func() []byte
	open      atomic.Int64
	refusing  atomic.Int64
	refusals  sync.WaitGroup
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if n := l.open.Add(1); l.max == 0 || n <= l.max {
			return &callerConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

// Close implements net.Listener. It waits for the refusals under way.
func (l *callerListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(l.refusals.Wait)
	return err
}

// refuse answers a connection over the limit and closes it.
func (l *callerListener) refuse(c net.Conn) {
	if l.refusing.Add(1) > maxRefusals {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	l.refusals.Go(func() {
		defer l.refusing.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := c.Write(l.refusal()); err != nil {
			return
		}
		// What the caller sent is read first: closing with unread bytes would
		// reset the connection, and the answer would be lost.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c)
	})
}

// callerConn is a caller's connection. Each write has a deadline of its own.
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

// SetWriteDeadline implements net.Conn. One in the past ends all writes, that
// under way too.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.aborted.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
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
