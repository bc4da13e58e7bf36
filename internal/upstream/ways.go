package upstream

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/reach"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

const (
	// relayDelay is the time after which another VM is asked for a connection to an endpoint
	// while this VM's own one has not opened.
	relayDelay = 100 * time.Millisecond
	// directTimeout bounds the time to open a connection on this VM's own path where there is
	// another way: if neither opens by then, another endpoint is a better choice.
	directTimeout = 500 * time.Millisecond
	// suspectTimeout bounds the time to open a connection on a path that may well be lost.
	suspectTimeout = 150 * time.Millisecond
	// relayTimeout bounds the time to open a connection through another VM.
	relayTimeout = 700 * time.Millisecond
)

// RelayedConn is a connection to an endpoint through another VM.
type RelayedConn interface {
	net.Conn
	// Via returns the VM between and its failure domain.
	Via() (vm, domain string)
	// Observed tells that VM for how long the endpoint wants no requests, and whether it
	// leaves.
	Observed(retryAfter time.Duration, leaving bool) error
	// RequestForwarded reports, once io.EOF was read, whether that VM had written all of the
	// request to the endpoint when the endpoint ended the connection.
	RequestForwarded() bool
}

// Relay opens connections to endpoints through other VMs.
type Relay interface {
	// Open returns such a connection. An error with a method Witnessed tells whether another
	// VM has found that the endpoint can't be reached.
	Open(ctx context.Context, endpoint directory.Incarnation, domain string) (RelayedConn, error)
}

// opened is the result of opening a connection on one way.
type opened struct {
	conn    net.Conn
	relayed RelayedConn
	err     error
	// viaRelay is set for the way through another VM.
	viaRelay bool
}

// path returns the path to the request's endpoint.
func (r *Request) path() reach.Path { return reach.Path{Address: r.Address, Domain: r.FailureDomain} }

// open opens a connection for the request, on this VM's own path or through another VM,
// whichever opens first. The other way is tried when this VM's path fails or takes long, and at
// once where it is suspect. The error is an UnreachedError, that of the context, or that of the
// dial where there is no other way.
func (t *Transport) open(ctx context.Context, req *Request) (*conn, error) {
	if t.cfg.Relay == nil || req.Endpoint.ID == "" {
		return t.openDirect(ctx, req.path(), dialTimeout)
	}
	o := &opening{transport: t, req: req, suspect: t.paths.suspect(req.path()), results: make(chan opened, 2)}
	var cancelDirect, cancelRelay context.CancelFunc
	o.directCtx, cancelDirect = context.WithCancel(context.WithoutCancel(ctx))
	o.relayCtx, cancelRelay = context.WithCancel(ctx)
	o.cancelDirect = cancelDirect
	defer cancelRelay()
	c, err := o.run(ctx)
	if err != nil {
		cancelDirect()
	}
	return c, err
}

// opening is the opening of a connection on two ways.
type opening struct {
	transport *Transport
	req       *Request
	// suspect is set if the connection on this VM's own path may well not open.
	suspect bool
	// directCtx may outlast the request, so that the state of the path becomes known.
	directCtx, relayCtx context.Context //nolint:containedctx // each bounds one of the ways
	cancelDirect        context.CancelFunc
	results             chan opened
	// pending is the number of ways that are open, and direct and relayed are their failures.
	pending         int
	direct, relayed error
}

// run returns the first connection that opens.
func (o *opening) run(ctx context.Context) (*conn, error) {
	relayTimer := time.NewTimer(relayDelay)
	defer relayTimer.Stop()
	o.startDirect()
	if o.suspect {
		relayTimer.Reset(0)
	}
	relaying := false
	for {
		select {
		case <-relayTimer.C:
			if !relaying {
				relaying = true
				o.startRelay()
			}
		case r := <-o.results:
			o.pending--
			switch {
			case r.err == nil:
				return o.succeeded(r), nil
			case r.viaRelay:
				o.relayed = r.err
			default:
				o.direct = r.err
				relayTimer.Reset(0)
			}
		case <-ctx.Done():
			go o.settle()
			return nil, errors.WithStack(ctx.Err())
		}
		if o.direct != nil && o.relayed != nil {
			return nil, o.transport.unreached(ctx, o.req.path(), o.direct, o.relayed)
		}
	}
}

func (o *opening) startDirect() {
	timeout := directTimeout
	if o.suspect {
		timeout = suspectTimeout
	}
	o.pending++
	go func() {
		c, err := dial.WithRetry(o.directCtx, dial.Watched(), o.req.Address, timeout)
		o.results <- opened{conn: c, err: err}
	}()
}

func (o *opening) startRelay() {
	o.pending++
	go func() {
		c, err := o.transport.openRelayed(o.relayCtx, o.req)
		o.results <- opened{relayed: c, err: err, viaRelay: true}
	}()
}

// succeeded records by which way the connection was opened, and what follows for the path.
func (o *opening) succeeded(r opened) *conn {
	t, path := o.transport, o.req.path()
	if !r.viaRelay {
		go o.settle()
		return t.openedDirect(path, r.conn)
	}
	switch {
	case o.direct != nil:
		t.pathFailed(path)
	case !o.suspect:
		t.pathFailed(path)
		o.cancelDirect()
	}
	go o.settle()
	t.relayed.Inc(1)
	c := newConn(r.relayed, path, t.paths)
	c.relayed = r.relayed
	return c
}

// settle closes what is opened after all, and records what this VM's own path to a suspect
// endpoint does.
func (o *opening) settle() {
	defer o.cancelDirect()
	for range o.pending {
		r := <-o.results
		switch {
		case r.viaRelay && r.err == nil:
			_ = r.relayed.Close()
		case r.viaRelay:
		case r.err == nil:
			o.transport.paths.reached(o.req.path())
			_ = r.conn.Close()
		case o.directCtx.Err() == nil && o.transport.paths.lost(o.req.path()):
			o.transport.pathFailed(o.req.path())
		}
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// openDirect opens a connection on this VM's own path.
func (t *Transport) openDirect(ctx context.Context, path reach.Path, timeout time.Duration) (*conn, error) {
	c, err := dial.WithRetry(ctx, dial.Watched(), path.Address, timeout)
	if err != nil {
		return nil, err
	}
	return t.openedDirect(path, c), nil
}

// openedDirect returns a connection that was opened on this VM's own path.
func (t *Transport) openedDirect(path reach.Path, c net.Conn) *conn {
	t.cfg.Opened.Inc(1)
	t.paths.reached(path)
	return newConn(c, path, t.paths)
}

// openRelayed opens a connection through another VM.
func (t *Transport) openRelayed(ctx context.Context, req *Request) (RelayedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return t.cfg.Relay.Open(ctx, req.Endpoint, req.FailureDomain) //nolint:wrapcheck // the caller tells its types
}

// unreached returns the error of a request that could be sent on no way.
func (t *Transport) unreached(ctx context.Context, path reach.Path, direct, relayed error) error {
	if ctx.Err() != nil {
		// The request ended first, which tells nothing of the path.
		return errors.WithStack(ctx.Err())
	}
	var w interface{ Witnessed() bool }
	witnessed := errors.As(relayed, &w) && w.Witnessed()
	pathLost := t.paths.lost(path) && !witnessed
	t.paths.unreached(path)
	return errors.WithStack(&UnreachedError{Direct: direct, Relayed: relayed, OwnPath: pathLost})
}

// Dial opens a connection to an endpoint on this VM's own path, for another VM. It fails at once
// with a DownError if this VM, too, has just found that no VM reaches the endpoint.
func (t *Transport) Dial(ctx context.Context, entry directory.Entry) (net.Conn, error) {
	path := reach.Path{Address: entry.Address, Domain: entry.Domain}
	if t.paths.down(path) {
		return nil, errors.WithStack(&DownError{entry.Address})
	}
	c, err := t.openDirect(ctx, path, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// PathLost reports whether this VM's own path to the endpoint is lost.
func (t *Transport) PathLost(entry directory.Entry) bool {
	return t.paths.lost(reach.Path{Address: entry.Address, Domain: entry.Domain})
}

// CutOff reports whether this VM reaches no endpoint on its own paths.
func (t *Transport) CutOff() bool { return t.paths.cutOff() }

// LostPaths returns the number of paths that are lost.
func (t *Transport) LostPaths() int { return t.paths.lostPaths() }

// Relayed returns the number of requests sent through other VMs.
func (t *Transport) Relayed() int64 { return t.relayed.Count() }

// HasOtherWay reports whether requests can go through other VMs.
func (t *Transport) HasOtherWay() bool { return t.cfg.Relay != nil }

// OwnPathFailed reports whether the connection to the request's endpoint broke because this
// VM's own path is lost, and not by a fault of the endpoint: whether another VM reaches it now,
// and this one doesn't.
func (t *Transport) OwnPathFailed(ctx context.Context, req *Request) bool {
	if t.cfg.Relay == nil || req.Endpoint.ID == "" {
		return false
	}
	path := req.path()
	if !t.paths.lost(path) {
		t.check(ctx, req)
	}
	return t.paths.lost(path)
}

// check finds out whether the path to a request's endpoint works. Requests in flight on a path
// that is lost and silent are given up, so that they are sent again. Concurrent checks of one path
// are one.
func (t *Transport) check(ctx context.Context, req *Request) {
	_, _, _ = t.checks.Do(req.Address, func() (any, error) {
		t.checkPath(ctx, req)
		return struct{}{}, nil
	})
}

// checkPath tries this VM's path again after another VM has reached the endpoint: one that was
// silent for a moment has not lost its path.
func (t *Transport) checkPath(ctx context.Context, req *Request) {
	if t.reaches(ctx, req) == nil {
		return
	}
	relayed, err := t.openRelayed(ctx, req)
	if err != nil {
		if ctx.Err() == nil {
			t.paths.unreached(req.path())
		}
		return
	}
	_ = relayed.Close()
	err = t.reaches(ctx, req)
	if err == nil {
		return
	}
	t.pathFailed(req.path())
	if isTimeout(err) {
		t.giveUpSilent(req.path())
	}
}

// reaches opens a connection on this VM's own path, and closes it.
func (t *Transport) reaches(ctx context.Context, req *Request) error {
	c, err := t.openDirect(ctx, req.path(), suspectTimeout)
	if err != nil {
		return err
	}
	return c.Close() //nolint:wrapcheck // a net.Conn returns the connection's errors
}
