// Package endpoint implements the clients for model engines and plain services.
// Streams use net/http, whose requests can be cancelled at any point; all other
// requests use fasthttp.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
)

const (
	dialTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Attempt is one attempt to run a prompt at an endpoint.
type Attempt struct {
	// Address is the endpoint's IP and port, Path the URL path.
	Address string
	Path    string
	// Request is the request ID and Number the number of the attempt; together
	// they identify the attempt.
	Request string
	Number  int
	// Owner identifies the VM that owns the attempt's memory.
	Owner    string
	Priority wire.Priority
	// Reservation is the ID of the attempt's memory reservation; empty for none.
	Reservation string
	Body        []byte
}

// RefusedError reports that the endpoint refused the request and did not run any
// part of it.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string { return "endpoint refused: status " + strconv.Itoa(e.Status) }

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "endpoint: status " + strconv.Itoa(e.Status) }

// IncompleteStreamError reports that a stream ended without its end marker.
type IncompleteStreamError struct{}

// Error implements error.
func (*IncompleteStreamError) Error() string { return "endpoint: stream ended before its end marker" }

// Unwrap returns the end of the connection, as which the error counts.
func (*IncompleteStreamError) Unwrap() error { return io.ErrUnexpectedEOF }

// Client opens streams. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	limits Limits
}

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Client that connects over TCP.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewWithDial(dialer.DialContext)
}

// NewWithDial returns a Client that opens its connections with dial.
func NewWithDial(dial DialFunc) *Client {
	return &Client{limits: NoLimits{}, http: &http.Client{Transport: &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		// A response names its attempt in its events only: on a connection that is used
		// again, a second copy of an earlier refusal would be taken for it.
		DisableKeepAlives: true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// SetLimits sets what receives the limits that engines name. It must be called before the
// first attempt.
func (c *Client) SetLimits(l Limits) { c.limits = l }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Stream is the streamed response to one attempt. It is not safe for concurrent
// use.
type Stream struct {
	body   io.ReadCloser
	events *eventReader
	// load is the load report in the response header; valid if hasLoad is set.
	load    wire.LoadReport
	hasLoad bool
}

// Open sends the attempt and returns its stream. Cancelling ctx ends the stream.
// After a RefusedError or a NotSentError the endpoint has not started the attempt;
// after any other error it may have.
func (c *Client) Open(ctx context.Context, a Attempt) (*Stream, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := a.newRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, errors.WithStack(&NotSentError{err})
	}
	sentAt := time.Now()
	res, err := c.http.Do(req)
	if err != nil && !gotConn.Load() {
		return nil, errors.WithStack(&NotSentError{err})
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := httpcheck.Status(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err //nolint:wrapcheck // it has its stack
	}
	observeLimit(c.limits, a.Address, sentAt, res.Header.Values(wire.HeaderLimit))
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, statusError(res)
	}
	s := NewStream(res.Body)
	s.load, s.hasLoad = parseLoadReport(res.Header.Get(wire.HeaderLoadReport))
	return s, nil
}

// parseLoadReport parses the load report in a response header. It reports false if
// there is none or it is invalid.
func parseLoadReport(header string) (wire.LoadReport, bool) {
	var r wire.LoadReport
	if header == "" || json.Unmarshal([]byte(header), &r) != nil {
		return wire.LoadReport{}, false
	}
	return r, r.AtMs > 0
}

// Load returns the engine's load report from the response header, or false if
// there was none.
func (s *Stream) Load() (wire.LoadReport, bool) { return s.load, s.hasLoad }

// NewStream returns a Stream that reads the events of the body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, events: newEventReader(body)}
}

// newRequest returns the HTTP request of the attempt.
func (a Attempt) newRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, a.Request)
	req.Header.Set(wire.HeaderAttempt, strconv.Itoa(a.Number))
	req.Header.Set(wire.HeaderOwner, a.Owner)
	req.Header.Set(wire.HeaderPriority, strconv.Itoa(int(a.Priority)))
	if a.Reservation != "" {
		req.Header.Set(wire.HeaderReservation, a.Reservation)
	}
	return req, nil
}

// statusError returns the error for a response without status 200.
func statusError(res *http.Response) error {
	if res.Header.Get(wire.HeaderRan) == "no" {
		return errors.WithStack(&RefusedError{res.StatusCode})
	}
	return errors.WithStack(&StatusError{res.StatusCode})
}

// Close closes the response body, which ends the stream.
func (s *Stream) Close() { _ = s.body.Close() }

// Buffered reports whether Next returns an event without waiting for the endpoint.
func (s *Stream) Buffered() bool { return s.events.buffered() }

// Next returns the next event, or an IncompleteStreamError at the end of the body. The
// end marker is returned as an event.
func (s *Stream) Next() (Event, error) {
	event, err := s.events.next()
	if errors.Is(err, io.EOF) {
		err = errors.WithStack(&IncompleteStreamError{})
	}
	return event, err
}
