package upstream

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. A larger one is written concurrently, as the endpoint may
	// respond before it has read the body.
	maxInlineBody = 16 << 10
	// headerBuffer is the initial size of the buffer for a request's header, in bytes.
	headerBuffer = 1 << 10
	// lingerTimeout bounds the time for which the rest of a request is written after its response was
	// read. It is under the half second after which nothing may be left at an endpoint of a caller
	// that has disconnected.
	lingerTimeout = 400 * time.Millisecond
)

// writing is the writing of one request.
type writing struct {
	// done is closed at its end; err is valid from then on.
	done chan struct{}
	err  error
}

// startWriting writes the request, concurrently if it is large.
func startWriting(c *conn, req *Request) *writing {
	w := &writing{done: make(chan struct{})}
	write := func() {
		defer close(w.done)
		w.err = writeRequest(c, req)
	}
	if len(req.Body) <= maxInlineBody {
		write()
	} else {
		go write()
	}
	return w
}

// ended reports whether writing has ended.
func (w *writing) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// succeeded reports whether the whole request has been written.
func (w *writing) succeeded() bool { return w.ended() && w.err == nil }

// complete returns nil if the end of the connection, which was just read, makes the response complete
// (see package httpcheck), and an UnfinishedRequestError otherwise. A write that is pending is ended:
// one that has returned from the system may not have been noticed yet.
func (w *writing) complete(c *conn) error {
	httpcheck.EndWrites(c)
	<-w.done
	switch {
	case errors.Is(w.err, os.ErrDeadlineExceeded):
		return errors.WithStack(&httpcheck.UnfinishedRequestError{})
	case w.err != nil:
		return errors.WithStack(&httpcheck.UnfinishedRequestError{Cause: w.err})
	case c.relayed != nil && !c.relayed.RequestForwarded(), !httpcheck.Acknowledged(c.Conn):
		return errors.WithStack(&httpcheck.UnfinishedRequestError{})
	}
	return nil
}

// linger writes the rest of the request, and closes the connection then.
func (r *Response) linger() {
	_ = r.conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	if r.request.OnLinger != nil {
		r.request.OnLinger(r.writing.done)
	}
	go func() {
		<-r.writing.done
		r.transport.count(r.request, r.conn)
		_ = r.conn.Close()
	}()
}

// writeRequest writes header and body, in one call unless the body is large.
func writeRequest(c *conn, req *Request) error {
	var b bytes.Buffer
	large := len(req.Body) > maxInlineBody
	if large {
		b.Grow(headerBuffer)
	} else {
		b.Grow(headerBuffer + len(req.Body))
	}
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
	if !large {
		b.Write(req.Body)
	}
	_, err := c.Write(b.Bytes())
	if err == nil && large {
		_, err = c.Write(req.Body)
	}
	return errors.WithStack(err)
}
