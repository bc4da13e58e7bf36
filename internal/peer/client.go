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

// Client calls peers, over one kept connection to each address. It is safe for
// concurrent use.
type Client struct {
	*end
	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// link is the connection to one address; ready is closed when it stands or has
// failed.
type link struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	peer  Identity
	err   error
	// timeouts counts the calls in a row that had no answer in time.
	timeouts atomic.Int32
}

// maxTimeouts is how many calls in a row may go unanswered before a connection
// is given up: after a partition a new one works at once, while the old one
// waits for its next retransmission.
const maxTimeouts = 2

// ClosedError says that the client was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "the peers' client is closed" }

// NewClient returns a Client.
func NewClient(cfg Config, mux *Mux, log *event.Logger, registry metrics.Registry) (*Client, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.WithStack(&KeysError{})
	}
	return &Client{end: newEnd(cfg, mux, log, registry), links: make(map[string]*link)}, nil
}

// Call calls the method of the VM at the address and decodes its answer into
// result. It returns who answered. A failure of the handler comes back with its
// code; any other error means that the request may or may not have been
// carried out.
func (c *Client) Call(ctx context.Context, address string, method Method, params, result any) (Identity, error) {
	l, err := c.link(ctx, address)
	if err != nil {
		return Identity{}, err
	}
	waiter, err := l.conn.DispatchCall(ctx, string(method), params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		// The connection had ended and nothing was sent.
		c.forget(address, l)
		if l, err = c.link(ctx, address); err != nil {
			return Identity{}, err
		}
		waiter, err = l.conn.DispatchCall(ctx, string(method), params)
	}
	if err != nil {
		return l.peer, errors.WithStack(err)
	}
	err = waiter.Wait(ctx, result)
	l.noteAnswer(err)
	if err != nil {
		return l.peer, decodeError(err)
	}
	return l.peer, nil
}

// noteAnswer gives the connection up when it does not answer.
func (l *link) noteAnswer(err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		l.timeouts.Store(0)
		return
	}
	if l.timeouts.Add(1) >= maxTimeouts {
		_ = l.conn.Close()
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	for _, l := range links {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}

// link returns the connection to the address, and opens it if there is none.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.WithStack(&ClosedError{})
	}
	l := c.links[address]
	if l == nil || l.ended() {
		l = &link{ready: make(chan struct{})}
		c.links[address] = l
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

// ended reports whether the link stood and its connection has ended since.
func (l *link) ended() bool {
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

// open connects the link, and forgets it when it ends.
func (c *Client) open(l *link, address string) {
	l.err = c.dial(l, address)
	close(l.ready)
	if l.err == nil {
		<-l.conn.DisconnectNotify()
	}
	c.forget(address, l)
}

func (c *Client) forget(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
}

func (c *Client) dial(l *link, address string) error {
	conn, err := dial.Again(context.Background(), net.Dialer{}, address, c.cfg.HandshakeTimeout)
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
	out := &stream{conn: conn, r: r, session: sess, limit: c.cfg.MaxMessageBytes, counters: c.counters, reject: func(reason Reason) { c.reject(address, reason) }}
	l.peer = sess.peer
	l.conn = jsonrpc2.NewConn(context.Background(), out, jsonrpc2.HandlerWithError(refuse), jsonrpc2.SetLogger(silent{}))
	return nil
}

// refuse answers requests that arrive on a connection that this VM opened; the
// protocol has none.
func refuse(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}
