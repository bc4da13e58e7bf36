package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// Client calls peers over one persistent connection per address. It is safe for
// concurrent use.
type Client struct {
	*shared
	mu     sync.Mutex
	closed bool
	conns  map[string]*clientConn
}

// clientConn is the connection to one address. ready is closed when the
// connection is established or has failed; the fields conn, peer and err are set
// before.
type clientConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	peer  Identity
	err   error
	// consecutiveTimeouts counts the calls in a row that ended without a response
	// before their deadline.
	consecutiveTimeouts atomic.Int32
}

// maxConsecutiveTimeouts is the number of calls in a row that may time out before
// the connection is closed: after a partition a new connection works immediately,
// while the old one waits for its next TCP retransmission.
const maxConsecutiveTimeouts = 2

// ClosedError reports a call on a closed client.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "the peers' client is closed" }

// NewClient returns a Client without connections. It returns a KeysError if the
// configuration has no key.
func NewClient(cfg Config, mux *Mux, log *event.Logger, registry metrics.Registry) (*Client, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.WithStack(&KeysError{})
	}
	return &Client{shared: newShared(cfg, mux, log, registry), conns: make(map[string]*clientConn)}, nil
}

// Call calls the method on the VM at the address and decodes the response into
// result. It returns the identity of the VM that responded. A handler's error is
// returned with its error code; after any other error the request may or may not
// have been executed.
func (c *Client) Call(ctx context.Context, address string, method Method, params, result any) (Identity, error) {
	l, err := c.acquire(ctx, address)
	if err != nil {
		return Identity{}, err
	}
	waiter, err := l.conn.DispatchCall(ctx, string(method), params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		// The connection was already closed and nothing was sent, so the call can
		// be repeated on a new one.
		c.remove(address, l)
		if l, err = c.acquire(ctx, address); err != nil {
			return Identity{}, err
		}
		waiter, err = l.conn.DispatchCall(ctx, string(method), params)
	}
	if err != nil {
		return l.peer, errors.WithStack(err)
	}
	err = waiter.Wait(ctx, result)
	l.recordResult(err)
	if err != nil {
		return l.peer, decodeError(err)
	}
	return l.peer, nil
}

// recordResult counts consecutive timeouts and closes the connection at
// maxConsecutiveTimeouts.
func (l *clientConn) recordResult(err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		l.consecutiveTimeouts.Store(0)
		return
	}
	if l.consecutiveTimeouts.Add(1) >= maxConsecutiveTimeouts {
		_ = l.conn.Close()
	}
}

// Close closes all connections; later calls fail with a ClosedError.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := make([]*clientConn, 0, len(c.conns))
	for _, l := range c.conns {
		conns = append(conns, l)
	}
	c.mu.Unlock()
	for _, l := range conns {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}

// acquire returns the connection to the address, opening one if there is none. It
// waits until the connection is established, has failed or ctx is done.
func (c *Client) acquire(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.WithStack(&ClosedError{})
	}
	l := c.conns[address]
	if l == nil || l.disconnected() {
		l = &clientConn{ready: make(chan struct{})}
		c.conns[address] = l
		go c.open(l, address)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// disconnected reports whether the connection was established and has closed
// since.
func (l *clientConn) disconnected() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.conn == nil {
		return false
	}
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// open establishes the connection and removes it from the client once it has
// failed or closed.
func (c *Client) open(l *clientConn, address string) {
	l.err = c.dial(l, address)
	close(l.ready)
	if l.err == nil {
		<-l.conn.DisconnectNotify()
	}
	c.remove(address, l)
}

func (c *Client) remove(address string, l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == l {
		delete(c.conns, address)
	}
}

func (c *Client) dial(l *clientConn, address string) error {
	conn, err := dial.WithRetry(context.Background(), net.Dialer{}, address, c.cfg.HandshakeTimeout)
	if err != nil {
		return errors.WithStack(err)
	}
	r := bufio.NewReader(conn)
	sess, err := c.handshaker().connect(conn, r)
	if err != nil {
		_ = conn.Close()
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			c.reject(address, rejected.Reason)
		}
		return err
	}
	out := &stream{conn: conn, r: r, session: sess, maxBytes: c.cfg.MaxMessageBytes, counters: c.counters, meter: c.newMeter(sess.peer.VM), reject: func(reason Reason) { c.reject(address, reason) }}
	l.peer = sess.peer
	l.conn = jsonrpc2.NewConn(context.Background(), out, jsonrpc2.HandlerWithError(rejectRequest), out.meter.options()...)
	return nil
}

// rejectRequest rejects requests that arrive on a connection that this VM opened;
// the protocol defines requests in the other direction only.
func rejectRequest(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}
