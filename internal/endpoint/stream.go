// Package endpoint is the client of model engines and plain services. Streams
// are read with net/http, whose requests can be cancelled at any point;
// everything else goes through fasthttp.
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
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	idleConns   = 64
)

// Attempt is one try of a prompt at an endpoint.
type Attempt struct {
	// Address is the endpoint's IP and port, Path the route there.
	Address string
	Path    string
	// Request and Number name the attempt.
	Request string
	Number  int
	// Owner is the VM that the attempt's memory belongs to.
	Owner    string
	Priority wire.Priority
	// Reservation is the memory set aside for it; empty for none.
	Reservation string
	Body        []byte
}

// RefusedError says that the endpoint proved that it started nothing.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string { return "endpoint refused: status " + strconv.Itoa(e.Status) }

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "endpoint: status " + strconv.Itoa(e.Status) }

// CutError says that a stream ended without its end marker.
type CutError struct{}

// Error implements error.
func (*CutError) Error() string { return "endpoint: stream ended before its end marker" }

// Client opens streams. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// DialFunc connects to an endpoint.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewWithDial(dialer.DialContext)
}

// NewWithDial returns a client that connects through dial.
func NewWithDial(dial DialFunc) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Stream is the answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	body   io.ReadCloser
	events *eventReader
	// load came with the answer if hasLoad says so.
	load    wire.LoadReport
	hasLoad bool
}

// Open sends the attempt and returns its stream. Cancelling ctx ends it. A
// RefusedError or a NotSentError proves that the endpoint started nothing; any
// other error leaves that open.
func (c *Client) Open(ctx context.Context, a Attempt) (*Stream, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := a.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, errors.WithStack(&NotSentError{err})
	}
	res, err := c.http.Do(req)
	if err != nil && !sent.Load() {
		return nil, errors.WithStack(&NotSentError{err})
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, statusError(res)
	}
	s := NewStream(res.Body)
	s.load, s.hasLoad = readLoad(res.Header.Get(wire.HeaderLoadReport))
	return s, nil
}

// readLoad reads the load report that rides on an answer; false for none.
func readLoad(header string) (wire.LoadReport, bool) {
	var r wire.LoadReport
	if header == "" || json.Unmarshal([]byte(header), &r) != nil {
		return wire.LoadReport{}, false
	}
	return r, r.AtMs > 0
}

// Load is the engine's load report that came with the answer; false for none.
func (s *Stream) Load() (wire.LoadReport, bool) { return s.load, s.hasLoad }

// NewStream returns the stream that the body carries.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, events: newEventReader(body)}
}

func (a Attempt) request(ctx context.Context) (*http.Request, error) {
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

func statusError(res *http.Response) error {
	if res.Header.Get(wire.HeaderRan) == "no" {
		return errors.WithStack(&RefusedError{res.StatusCode})
	}
	return errors.WithStack(&StatusError{res.StatusCode})
}

// Close ends the stream.
func (s *Stream) Close() { _ = s.body.Close() }

// Ready reports whether Next returns an event without waiting.
func (s *Stream) Ready() bool { return s.events.buffered() }

// Next returns the next event. It returns a CutError where the body ends.
func (s *Stream) Next() (Event, error) {
	event, err := s.events.next()
	if errors.Is(err, io.EOF) {
		err = errors.WithStack(&CutError{})
	}
	return event, err
}
