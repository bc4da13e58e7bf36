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
	// inlineBody is the largest body that is written before the answer is read;
	// a larger one is written beside it, as the endpoint may answer first.
	inlineBody = 16 << 10
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 4
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
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
	// Fresh asks for a connection that was never used, on which a request can't
	// be lost to the end of an idle one.
	Fresh bool
	// Mine reports whether an answer with the header belongs to this request;
	// nil for any.
	Mine func(http.Header) bool
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
	ended     bool
}

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	pool pool
	// opened is called for each new connection.
	opened func()
	stop   chan struct{}
	once   sync.Once
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
			t.pool.sweep(now)
		}
	}
}

// Close ends the idle connections.
func (t *Transport) Close() {
	t.once.Do(func() { close(t.stop) })
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
	if len(req.Body) <= inlineBody {
		written <- write(c, req)
	} else {
		go func() { written <- write(c, req) }()
	}
	raw, err := readAnswer(c, req) //nolint:bodyclose // Response.Close ends the exchange with its connection
	if err != nil {
		release()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &BrokenError{Cause: errors.WithStack(err), Reused: c.used}
	}
	resp := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength,
		transport: t, conn: c, raw: raw, written: written, release: release,
	}
	resp.Body = &endReader{resp: resp}
	return resp, nil
}

func (t *Transport) connection(ctx context.Context, req *Request) (*conn, error) {
	if !req.Fresh {
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

// write sends head and body in one piece.
func write(c *conn, req *Request) error {
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

// readAnswer returns the answer to this request, and passes over those to
// others.
func readAnswer(c *conn, req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxStray {
		raw, err := http.ReadResponse(c.r, asked)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if req.Mine == nil || req.Mine(raw.Header) {
			return raw, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxStrayBytes)); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return nil, errors.WithStack(&StrayError{maxStray})
}

// endReader notes that the body was read to its end.
type endReader struct{ resp *Response }

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.resp.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.resp.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer and the request
// were transferred in whole and the endpoint keeps it too.
func (r *Response) Close() {
	live := r.release()
	keep := keepFor(r.raw)
	if !live || !r.ended || keep == 0 || !r.requestWritten() || r.conn.r.Buffered() > 0 {
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
