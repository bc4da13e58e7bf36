package node

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/linger"
)

const (
	// refusalTimeout bounds the time to refuse a connection over the limit,
	// including the reading of what the caller sent.
	refusalTimeout = 500 * time.Millisecond
	// maxRefusals bounds the concurrent refusals; further connections are
	// closed without a response.
	maxRefusals = 64
	// maxLingering bounds the connections that linger after their response without being counted
	// as open.
	maxLingering = 1024
	// closedInterval is the time between two checks whether all connections are closed.
	closedInterval = 5 * time.Millisecond
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
	// lingerQuota counts the lingering connections that are not in openCount, and unclosed all
	// accepted connections that are not closed.
	lingerQuota linger.Quota
	unclosed    atomic.Int64
}

// Accept implements net.Listener. It refuses connections over the limit.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if n := l.openCount.Add(1); l.maxOpen == 0 || n <= l.maxOpen {
			l.unclosed.Add(1)
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
		deadline := time.Now().Add(refusalTimeout)
		_ = c.SetDeadline(deadline)
		if _, err := c.Write(l.refusalResponse()); err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			linger.Await(tcp, deadline)
		}
	})
}

// awaitClosed waits until all accepted connections are closed, or as long as one may linger.
func (l *callerListener) awaitClosed() {
	for deadline := time.Now().Add(linger.Timeout); l.unclosed.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(closedInterval)
	}
}

// callerConn is a caller's connection. Each write gets a new deadline.
type callerConn struct {
	net.Conn
	listener *callerListener
	closed   atomic.Bool
	aborted  atomic.Bool

	mu sync.Mutex
	// reading is set while the server waits for the caller's bytes, answered after a write until
	// the next read fails, and ended when the caller's side has ended.
	reading, answered, ended bool
	// lingering is set when Close has ended the VM's side only.
	lingering bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.lingering {
		c.mu.Unlock()
		return 0, errors.WithStack(net.ErrClosed)
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.answered = c.answered && err == nil
	c.ended = c.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
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
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = err == nil
	return n, err
}

// SetWriteDeadline implements net.Conn. A deadline in the past aborts the write
// in progress and makes all later writes fail.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.aborted.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. After a response the connection lingers, so that its caller receives
// the whole response; one that waits for a request is closed at once. The connection is removed from the
// listener's count once, also if Close is called repeatedly.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	tcp, ok := c.beginLinger()
	if !ok {
		c.listener.openCount.Add(-1)
		defer c.listener.unclosed.Add(-1)
		return c.Conn.Close()
	}
	return c.listener.linger(tcp)
}

// beginLinger reports whether the connection must linger, and prevents further reads if so.
func (c *callerConn) beginLinger() (*net.TCPConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	c.lingering = ok && c.answered && !c.reading && !c.ended && !c.aborted.Load()
	return tcp, c.lingering
}

// linger closes a connection once its caller has ended its side. As far as the quota goes, it is
// not counted as open meanwhile, so that a caller that doesn't close takes no place from others.
func (l *callerListener) linger(tcp *net.TCPConn) error {
	uncounted := l.lingerQuota.Take(maxLingering)
	if uncounted {
		l.openCount.Add(-1)
	}
	return linger.Close(tcp, func() error {
		defer l.unclosed.Add(-1)
		if uncounted {
			l.lingerQuota.Release()
		} else {
			l.openCount.Add(-1)
		}
		return errors.WithStack(tcp.Close())
	})
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(syscall.EINVAL)
	}
	return sc.SyscallConn()
}
