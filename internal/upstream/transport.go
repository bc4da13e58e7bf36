package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInlineBody is the largest body that is written before the answer is read;
	// a larger one is written beside it, as the endpoint may answer first.
	maxInlineBody = 16 << 10
	// maxSkipped bounds the answers to other requests that are passed over.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of such an answer.
	maxSkippedBytes = 1 << 20
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = 2 * time.Second
)

// Request is what is sent to an endpoint.
type Request struct {
	// Address is the endpoint's, IP and port.
	Address string
	Method  string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that was never used, on which a request can't
	// be lost to the end of an idle one.
	NewConnection bool
	// Matches reports whether an answer with the header belongs to this request;
	// nil for any.
	Matches func(http.Header) bool
}

// Response is an endpoint's answer. Its Body must be read to its end or given
// up, and Close called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is that of the body, or -1.
	Length int64

	transport *Transport
	conn      *conn
	raw       *http.Response
	written   chan error
	release   func() bool
	bodyEnded bool
}

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	pool pool
	// opened is called for each new connection.
	opened    func()
	stop      chan struct{}
	closeOnce sync.Once
}

// New returns a Transport that reports each connection that it opens.
func New(opened func()) *Transport {
	t := &Transport{pool: pool{idle: make(map[string][]*conn)}, opened: opened, stop: make(chan struct{})}
	go t.sweep()
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

// Close ends the idle connections.
func (t *Transport) Close() {
	t.closeOnce.Do(func() { close(t.stop) })
	t.pool.close()
}

// Send sends the request once and returns the head of its answer. The context
// bounds the whole exchange: when it ends, so does the connection. The error is
// an UnsentError or a BrokenError.
func (t *Transport) Send(ctx context.Context, req *Request) (*Response, error) {
	c, err := t.connection(ctx, req)
	if err != nil {
		return nil, &UnsentError{err}
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	if len(req.Body) <= maxInlineBody {
		written <- writeRequest(c, req)
	} else {
		go func() { written <- writeRequest(c, req) }()
	}
	raw, err := readResponse(c, req) //nolint:bodyclose // Response.Close ends the exchange with its connection
	if err != nil {
		release()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &NoResponseError{Cause: errors.WithStack(err), Reused: c.used}
	}
	resp := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength,
		transport: t, conn: c, raw: raw, written: written, release: release,
	}
	resp.Body = &eofReader{resp: resp}
	return resp, nil
}

func (t *Transport) connection(ctx context.Context, req *Request) (*conn, error) {
	if !req.NewConnection {
		if c := t.pool.take(req.Address); c != nil {
			return c, nil
		}
	}
	c, err := open(ctx, req.Address)
	if err != nil {
		return nil, err
	}
	t.opened()
	return c, nil
}

// writeRequest sends head and body in one piece.
func writeRequest(c *conn, req *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	_, err := c.Write(b.Bytes())
	return errors.WithStack(err)
}

// readResponse returns the answer to this request, and passes over those to
// others.
func readResponse(c *conn, req *Request) (*http.Response, error) {
	sent := &http.Request{Method: req.Method}
	for range maxSkipped {
		raw, err := http.ReadResponse(c.r, sent)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if req.Matches == nil || req.Matches(raw.Header) {
			return raw, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxSkippedBytes)); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return nil, errors.WithStack(&StrayResponsesError{maxSkipped})
}

// eofReader notes that the body was read to its end.
type eofReader struct{ resp *Response }

// Read implements io.Reader.
func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.resp.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.resp.bodyEnded = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer and the request
// were transferred in whole and the endpoint keeps it too.
func (r *Response) Close() {
	live := r.release()
	keep := idleTimeout(r.raw)
	if !live || !r.bodyEnded || keep == 0 || !r.requestWritten() || r.conn.r.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.used = true
	r.conn.idleUntil = time.Now().Add(keep)
	r.transport.pool.put(r.conn)
}

// requestWritten reports whether the whole request was sent by now.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
