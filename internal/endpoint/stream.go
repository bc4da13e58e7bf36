// Package endpoint is the client of model engines and plain services. Streams
// are read with net/http, whose requests can be cancelled at any point;
// everything else goes through fasthttp.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// maxEventBytes is the longest line of an event stream.
	maxEventBytes = 1 << 20
	dialTimeout   = 2 * time.Second
	idleConns     = 64
)

// Attempt is one try of a prompt at an endpoint.
type Attempt struct {
	Address     string
	Path        string
	Request     string
	Number      int
	Owner       string
	Priority    wire.Priority
	Reservation string
	Body        []byte
}

// Token is one event of an answer.
type Token struct {
	// Index counts from 0 over the whole answer.
	Index int64
	// Data is the chunk, valid until the next call of Next.
	Data []byte
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

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost:   idleConns,
		ResponseHeaderTimeout: 0,
		DisableCompression:    true,
		TLSHandshakeTimeout:   dialTimeout,
	}}}
}

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Stream is the answer of one attempt.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	prefix  []byte
}

// Open sends the attempt and returns its stream. Cancelling ctx ends it.
func (c *Client) Open(ctx context.Context, a Attempt) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	number := strconv.Itoa(a.Number)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, a.Request)
	req.Header.Set(wire.HeaderAttempt, number)
	req.Header.Set(wire.HeaderOwner, a.Owner)
	req.Header.Set(wire.HeaderPriority, strconv.Itoa(int(a.Priority)))
	if a.Reservation != "" {
		req.Header.Set(wire.HeaderReservation, a.Reservation)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		if res.Header.Get(wire.HeaderRan) == "no" {
			return nil, errors.WithStack(&RefusedError{res.StatusCode})
		}
		return nil, errors.WithStack(&StatusError{res.StatusCode})
	}
	scanner := bufio.NewScanner(res.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &Stream{body: res.Body, scanner: scanner, prefix: []byte(a.Request + "/" + number + "/")}, nil
}

// Close ends the stream.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next token of this attempt; events of another request or
// attempt are dropped. It returns io.EOF after the end marker, and a CutError
// where the stream ends without one.
func (s *Stream) Next() (Token, error) {
	index := int64(-1)
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			index = s.index(id)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == wire.StreamDone {
			return Token{}, io.EOF
		}
		if index >= 0 {
			return Token{Index: index, Data: data}, nil
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Token{}, errors.WithStack(err)
	}
	return Token{}, errors.WithStack(&CutError{})
}

// index reads an event's id, request/attempt/index; -1 for another attempt's.
func (s *Stream) index(id []byte) int64 {
	rest, ok := bytes.CutPrefix(id, s.prefix)
	if !ok {
		return -1
	}
	n, err := strconv.ParseInt(string(rest), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
