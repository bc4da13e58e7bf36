package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"cornelsaddle.example/cornelsaddle/core/buffers"
	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

const (
	// maxInterim bounds the interim responses (1xx) to one request, and maxStray the
	// responses to other requests that are skipped.
	maxInterim = 16
	maxStray   = 3
	// maxStrayBytes bounds the bytes of a skipped response's body that are read.
	maxStrayBytes = 1 << 20
	// sweepInterval is the time between checks for expired idle connections.
	sweepInterval = 2 * time.Second
)

// Request is a request to an endpoint.
type Request struct {
	// Address is the endpoint's IP and port, and FailureDomain its failure domain; empty
	// if that is not known.
	Address       string
	FailureDomain string
	// Endpoint is the incarnation that is meant; without an ID the request is sent on this
	// VM's own path only.
	Endpoint directory.Incarnation
	// Repeatable allows to give the request up, for being sent again, when its path is lost,
	// unless Response.OnPathLost handles that.
	Repeatable bool
	// Cause is what the request is for.
	Cause  metrics.Cause
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection. A request on an idle one can be
	// lost if the endpoint closes it at the same time.
	NewConnection bool
	// Check is called immediately before the first byte is sent, and prevents that by
	// an error; nil always sends.
	Check func() error
	// Match tells whether a response with the header belongs to this request; nil takes
	// every response as its own.
	Match func(http.Header) Match
	// OnLinger is called by Response.Close if the endpoint still gets the rest of Body, which must
	// not change until done is closed; nil for none.
	OnLinger func(done <-chan struct{})
}

// Match tells whether a response belongs to a request.
type Match uint8

// Results of Request.Match.
const (
	// Own responses belong to the request.
	Own Match = iota
	// Other responses belong to another request. They are skipped.
	Other
	// Unidentified responses do not tell. On a new connection they belong to the
	// request, and the connection is not used again; on a reused one they may be a
	// late second copy of an earlier response, and are an error.
	Unidentified
)

// Response is an endpoint's response. Close must be called; it reuses the
// connection only if Body was read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Framing tells how the end of the body is marked.
	Framing Framing
	// Via is the VM between this one and the endpoint; empty for none.
	Via string
	// Memory holds the memory of the response: of its head, and of what is kept of its body. The
	// response breaks off where it has to give way.
	Memory *membudget.Holder

	transport *Transport
	request   *Request
	conn      *conn
	raw       *http.Response
	// writing is the writing of the request.
	writing *writing
	// release stops the context from closing the connection. It returns false if
	// the context has ended.
	release func() bool
	// identified is set if the response is known to belong to the request.
	identified bool
	// bodyEnded is set when the body was read to its end.
	bodyEnded bool
}

// Transport sends requests to endpoints. It is safe for concurrent use.
type Transport struct {
	cfg       Config
	pool      pool
	paths     *paths
	checks    singleflight.Group
	relayed   gometrics.Counter
	stop      chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// inFlight has the requests in flight on this VM's own paths.
	inFlight map[*conn]*Request
}

// Config configures a Transport.
type Config struct {
	// FailureDomain is the one of this VM; empty if it is not known.
	FailureDomain string
	// Opened counts the connections that were opened, and Traffic the bytes of the
	// requests and responses. Without them nothing is counted.
	Opened  gometrics.Counter
	Traffic *metrics.Traffic
	// Relay opens connections through other VMs; nil for none. Log receives the changes of
	// this VM's paths; nil for none.
	Relay Relay
	Log   *event.Logger
	// Memory is that for the responses; nil for no limit.
	Memory *membudget.Budget
}

// New returns a Transport without connections.
func New(cfg Config) *Transport {
	if cfg.Opened == nil {
		cfg.Opened = gometrics.NilCounter{}
	}
	if cfg.Traffic == nil {
		cfg.Traffic = metrics.NewTraffic(gometrics.NewRegistry())
	}
	t := &Transport{
		cfg: cfg, pool: pool{idle: make(map[string][]*conn)}, paths: newPaths(cfg.Log), relayed: gometrics.NewCounter(),
		stop: make(chan struct{}), inFlight: make(map[*conn]*Request),
	}
	go t.sweep()
	if cfg.Relay != nil {
		go t.watchSilence()
	}
	return t
}

func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case now := <-ticker.C:
			t.pool.closeExpired(now)
		}
	}
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.closeOnce.Do(func() { close(t.stop) })
	t.pool.close()
}

// Send sends the request once and returns the response as soon as its header
// was received. The context bounds the whole exchange, including the response
// body: when it ends, the connection is closed. The error is an UnsentError or
// a NoResponseError.
func (t *Transport) Send(ctx context.Context, req *Request) (*Response, error) {
	c, err := t.connection(ctx, req)
	if err != nil {
		return nil, &UnsentError{err}
	}
	if err := req.check(); err != nil {
		_ = c.Close()
		return nil, &UnsentError{err}
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	memory := t.cfg.Memory.Hold(buffers.Responses, func() { _ = c.Close() })
	c.head.memory, c.head.taken = memory, 0
	t.track(c, req)
	w := startWriting(c, req)
	raw, match, err := readResponse(c, req) //nolint:bodyclose // Response.Close closes the body's connection or returns it to the pool
	if err != nil {
		release()
		t.untrack(c)
		err = gaveWay(memory, err)
		memory.Close()
		_ = c.Close()
		t.count(req, c)
		if notSent(err) {
			return nil, &UnsentError{err}
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &NoResponseError{Cause: errors.WithStack(err), Reused: c.used}
	}
	resp := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength, Framing: framingOf(raw),
		Memory: memory, transport: t, request: req, conn: c, raw: raw, writing: w, release: release, identified: match == Own,
	}
	if c.relayed != nil {
		resp.Via, _ = c.relayed.Via()
	}
	resp.Body = &eofReader{resp: resp}
	return resp, nil
}

// gaveWay returns the reason why reading a response failed with err: a membudget.UsedUpError if its
// memory gave way, which closes the connection, and err otherwise.
func gaveWay(memory *membudget.Holder, err error) error {
	if failure := memory.Err(); failure != nil {
		return failure //nolint:wrapcheck // it has its stack
	}
	return err
}

func (r *Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

func (r *Request) match(h http.Header) Match {
	if r.Match == nil {
		return Own
	}
	return r.Match(h)
}

func (t *Transport) connection(ctx context.Context, req *Request) (*conn, error) {
	if !req.NewConnection && !t.paths.suspect(req.path()) {
		if c := t.pool.take(req.Address); c != nil {
			return c, nil
		}
	}
	return t.open(ctx, req)
}

// count counts the bytes of an exchange that has ended.
func (t *Transport) count(req *Request, c *conn) {
	other := req.FailureDomain
	if c.relayed != nil {
		_, other = c.relayed.Via()
	}
	domain := metrics.CompareDomains(t.cfg.FailureDomain, other)
	t.cfg.Traffic.Add(req.Cause, metrics.Sent, domain, c.sent.Swap(0))
	t.cfg.Traffic.Add(req.Cause, metrics.Received, domain, c.received.Swap(0))
}

// readResponse returns the response to this request, Own or Unidentified. It skips
// interim responses and those to other requests.
func readResponse(c *conn, req *Request) (*http.Response, Match, error) {
	sent := &http.Request{Method: req.Method}
	interim, stray := 0, 0
	for interim <= maxInterim && stray <= maxStray {
		c.head.limit()
		raw, err := http.ReadResponse(c.r, sent)
		c.head.unlimit()
		if c.head.failure != nil {
			err = c.head.failure
		}
		if err != nil {
			return nil, Other, errors.WithStack(err)
		}
		if err := httpcheck.Status(raw.StatusCode); err != nil {
			return nil, Other, err //nolint:wrapcheck // it has its stack
		}
		if httpcheck.IsInterim(raw.StatusCode) {
			interim++
			continue
		}
		match := req.match(raw.Header)
		switch {
		case match == Unidentified && c.used:
			return nil, Other, errors.WithStack(&UnidentifiedResponseError{raw.StatusCode})
		case match != Other:
			return raw, match, nil
		}
		stray++
		if err := skipBody(raw.Body); err != nil {
			return nil, Other, err
		}
	}
	return nil, Other, errors.WithStack(&StrayResponsesError{Interim: interim, Stray: stray})
}

// skipBody reads the body of a response to another request to its end.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if n > maxStrayBytes {
		return errors.WithStack(&StrayBodyError{maxStrayBytes})
	}
	return nil
}

// eofReader records that the body was read to its end. The end of the connection is that of a body
// only if the body is complete by it.
type eofReader struct{ resp *Response }

// Read implements io.Reader.
func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.resp.raw.Body.Read(p)
	if err != nil {
		err = gaveWay(r.resp.Memory, err)
	}
	if errors.Is(err, io.EOF) && r.resp.endsWithConnection() {
		if failure := r.resp.writing.complete(r.resp.conn); failure != nil {
			return n, failure
		}
	}
	if errors.Is(err, io.EOF) {
		r.resp.bodyEnded = true
	}
	return n, err
}

// Close ends the exchange. It returns the connection to the pool if request and
// response were transferred completely, the response is known to be this request's,
// and the endpoint keeps the connection open; otherwise it closes the connection. An endpoint
// that has answered before it has read the request, other than with an error, and keeps the
// connection open, gets the rest within lingerTimeout first.
func (r *Response) Close() {
	live := r.release() && r.Memory.Err() == nil
	// From here on the holder can't give way, which would close a connection that is reused.
	r.Memory.Close()
	r.conn.head.memory = nil
	r.transport.untrack(r.conn)
	r.conn.onLost.Store(nil)
	r.transport.count(r.request, r.conn)
	keep := idleTimeout(r.raw)
	if live && r.bodyEnded && keep > 0 && r.Status < http.StatusBadRequest && !r.writing.ended() {
		r.linger()
		return
	}
	if !live || r.conn.relayed != nil || !r.identified || !r.bodyEnded || keep == 0 || !r.writing.succeeded() || r.conn.r.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.used = true
	r.conn.idleUntil = time.Now().Add(keep)
	r.transport.pool.put(r.conn)
}

// Observed tells the VM between, if there is one, what the response says of its endpoint: for how
// long it wants no requests, and whether it leaves.
func (r *Response) Observed(retryAfter time.Duration, leaving bool) {
	if r.conn.relayed == nil || retryAfter <= 0 && !leaving {
		return
	}
	if err := r.conn.relayed.Observed(retryAfter, leaving); err != nil && r.transport.cfg.Log != nil {
		r.transport.cfg.Log.Emit(event.RelayNotTold{Via: r.Via, Endpoint: r.request.Endpoint.ID, Reason: err.Error()})
	}
}

// OnPathLost sets f to be called, in place of ending the request, when the path to the endpoint is
// found to be lost while the request is silent.
func (r *Response) OnPathLost(f func()) { r.conn.onLost.Store(&f) }

// Abort closes the connection, which ends a read of Body with an error. It may be
// called concurrently with that read.
func (r *Response) Abort() { _ = r.conn.Close() }

// endsWithConnection reports whether the end of the connection is that of the body.
func (r *Response) endsWithConnection() bool {
	return r.Framing == ByClose && r.raw.Body != http.NoBody
}
