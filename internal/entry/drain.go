package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/shutdown"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/linger"
)

const (
	// drainInterval is the time between two checks of the connections of a server that
	// drains.
	drainInterval = 20 * time.Millisecond
	// acceptQuiet is how long no connection must have been accepted before a server
	// that drains stops accepting, so that none is left in the listener's backlog. It
	// stops after shutdown.MaxAccept in any case, so that what it accepts is answered in time.
	acceptQuiet = 100 * time.Millisecond
	// idleQuiet is how long a connection must have been idle before a server that
	// drains closes it, and newQuiet the same for one without any request yet.
	idleQuiet = 100 * time.Millisecond
	newQuiet  = time.Second
	// lingerDivisor sets how many connections may linger without a slot: the limit on connections
	// divided by it, at least one.
	lingerDivisor = 4
)

// drainListener keeps track of its connections, so that a server that drains can close
// the idle ones. http.Server.Shutdown closes a connection on which the begin of a
// request has just been read; this one never does.
type drainListener struct {
	net.Listener
	// slots has one value for each open connection, if their number is limited. Those that linger
	// within the quota are not counted.
	slots       chan struct{}
	lingerQuota linger.Quota
	// stopped is closed with the listener.
	stopped  chan struct{}
	stopOnce sync.Once

	mu         sync.Mutex
	conns      map[*drainConn]struct{}
	acceptedAt time.Time
	closed     bool
}

// newDrainListener returns a drainListener with at most maxConnections open connections;
// zero means no limit.
func newDrainListener(l net.Listener, maxConnections int) *drainListener {
	d := &drainListener{Listener: l, conns: make(map[*drainConn]struct{}), stopped: make(chan struct{})}
	if maxConnections > 0 {
		d.slots = make(chan struct{}, maxConnections)
	}
	return d
}

// Accept implements net.Listener. While the number of connections is at its limit,
// further ones wait in the listener's backlog.
func (l *drainListener) Accept() (net.Conn, error) {
	if err := l.takeSlot(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.freeSlot()
		return nil, err //nolint:wrapcheck // http.Server checks the type
	}
	now := time.Now()
	conn := &drainConn{Conn: c, listener: l, idleSince: now, isNew: true}
	l.mu.Lock()
	l.acceptedAt = now
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// takeSlot waits until the number of connections is below its limit. The error is
// net.ErrClosed.
func (l *drainListener) takeSlot() error {
	if l.slots == nil {
		return nil
	}
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-l.stopped:
		return net.ErrClosed
	}
}

func (l *drainListener) freeSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

// Close implements net.Listener.
func (l *drainListener) Close() error {
	l.stopOnce.Do(func() { close(l.stopped) })
	return l.Listener.Close() //nolint:wrapcheck // a net.Listener returns the connection's errors
}

// expireIdle ends the wait for a request on all idle connections, and closes the
// listener once no connection is accepted any more. It reports whether the listener is
// closed and has no open connection. since is when draining began.
func (l *drainListener) expireIdle(since, now time.Time) bool {
	l.mu.Lock()
	if !l.closed && (now.Sub(l.acceptedAt) > acceptQuiet || now.Sub(since) > shutdown.MaxAccept) {
		l.closed = true
		_ = l.Close()
	}
	done := l.closed && len(l.conns) == 0
	conns := make([]*drainConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.expireIdle(now)
	}
	return done
}

// drainConn is a connection of a drainListener.
type drainConn struct {
	net.Conn
	listener *drainListener
	// slotFreed is set when the connection lingers without a slot. The listener's mu guards it.
	slotFreed bool

	mu sync.Mutex
	// busy is set from the begin of a request to the end of its response, and
	// idleSince is the last such end. isNew is set before the first request.
	busy      bool
	idleSince time.Time
	isNew     bool
	// deadline is the read deadline that the server has set; expired is set while an
	// earlier one is in force, which ends the wait for a request.
	deadline time.Time
	expired  bool
	// ended is set when the caller's side of the connection has ended, and reset if Close must
	// reset the connection (SetLinger(0)).
	ended, reset bool
	// lingering is set when Close has ended the VM's side only.
	lingering bool
}

// Read implements net.Conn. Bytes that were read are a request's, whose reading must
// not be ended by expireIdle.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.becomeBusy()
	}
	if err != nil && !isTimeout(err) {
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
	}
	return n, err //nolint:wrapcheck // http.Server checks the type
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// becomeBusy records that a request has begun.
func (c *drainConn) becomeBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.isNew = true, false
	if c.expired {
		c.expired = false
		// A connection that can't take a deadline fails at its next read.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // a net.Conn returns the connection's errors
}

// SetDeadline implements net.Conn.
func (c *drainConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t) //nolint:wrapcheck // a net.Conn returns the connection's errors
}

// Close implements net.Conn. After a response the connection lingers, so that its caller receives
// the whole response. An idle connection is closed at once, so that a request that arrives at that
// moment is known not to have been read.
func (c *drainConn) Close() error {
	c.mu.Lock()
	tcp, ok := c.Conn.(*net.TCPConn)
	begin := ok && c.busy && !c.ended && !c.reset && !c.lingering
	c.lingering = c.lingering || begin
	c.mu.Unlock()
	if !begin {
		return c.release()
	}
	end := c.listener.freeLingeringSlot(c)
	return linger.Close(tcp, func() error {
		end()
		return c.release()
	})
}

// freeLingeringSlot frees the slot of a connection that begins to linger, so that a caller that doesn't
// close its side takes none from others. What it returns is called when the connection has ended.
func (l *drainListener) freeLingeringSlot(c *drainConn) (end func()) {
	if l.slots == nil || !l.lingerQuota.Take(max(1, cap(l.slots)/lingerDivisor)) {
		return func() {}
	}
	l.mu.Lock()
	// A connection that the server has closed meanwhile has freed its slot.
	_, c.slotFreed = l.conns[c]
	l.mu.Unlock()
	if c.slotFreed {
		l.freeSlot()
	}
	return l.lingerQuota.Release
}

// release closes the connection and frees its slot.
func (c *drainConn) release() error {
	c.listener.mu.Lock()
	_, open := c.listener.conns[c]
	delete(c.listener.conns, c)
	holds := open && !c.slotFreed
	c.listener.mu.Unlock()
	if holds {
		c.listener.freeSlot()
	}
	return c.Conn.Close() //nolint:wrapcheck // a net.Conn returns the connection's errors
}

// SetLinger sets what Close does with bytes that are not sent yet, as net.TCPConn does.
// It has no effect on other connections.
func (c *drainConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	c.reset = seconds == 0
	c.mu.Unlock()
	return tcp.SetLinger(seconds) //nolint:wrapcheck // a net.Conn returns the connection's errors
}

// becomeIdle records that the response to a request was written.
func (c *drainConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, time.Now()
}

// expireIdle ends the wait for a request if the connection has been idle for long
// enough. The server then closes it.
func (c *drainConn) expireIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := idleQuiet
	if c.isNew {
		quiet = newQuiet
	}
	if c.busy || c.expired || now.Sub(c.idleSince) < quiet {
		return
	}
	c.expired = true
	// A connection that can't take a deadline is closed already.
	_ = c.Conn.SetReadDeadline(now)
}

// drainConnKey is the key of a request's connection in its context.
type drainConnKey struct{}

// connContext adds the connection to the contexts of its requests. It is an
// http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(gateway.ConnContext(ctx, c), drainConnKey{}, c)
}

// trackRequests makes the connection of each request busy: one that was sent together with
// the request before it is served without a further read.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(drainConnKey{}).(*drainConn); ok {
			conn.becomeBusy()
		}
		next.ServeHTTP(w, r)
	})
}

// trackState records the idle connections of a server. It is an http.Server.ConnState.
func trackState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*drainConn); ok && state == http.StateIdle {
		conn.becomeIdle()
	}
}
