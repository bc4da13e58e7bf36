package endpoint

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// Call is one call to a plain service.
type Call struct {
	// Address is the endpoint's IP and port.
	Address   string
	Operation string
	// Request is the request ID, Key the idempotency key; empty for none.
	Request string
	Key     string
	Body    []byte
	Timeout time.Duration
}

// Answer is the response of a plain service.
type Answer struct {
	Status int
	Body   []byte
}

// AnswerTooLargeError reports an answer whose body exceeds the bound, after a head with the status.
// The call ran.
type AnswerTooLargeError struct {
	Status int
	Cause  error
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string { return "endpoint: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AnswerTooLargeError) Unwrap() error { return e.Cause }

// NotSentError reports that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "endpoint: not sent: " + e.Cause.Error() }

// Bounds of a response's body, in bytes.
const (
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 8 << 20
	// maxListBytes bounds the response with an endpoint's cache events, reservations or
	// description.
	maxListBytes = 1 << 20
	// maxControlBytes bounds the response to any other control request.
	maxControlBytes = 64 << 10
)

// Caller makes calls to plain services and sends control requests to endpoints:
// load reports, cache events, cancellations, reservations and orders.
type Caller struct {
	// control and lists are for control requests. They differ in the bound on a response.
	control *fasthttp.Client
	lists   *fasthttp.Client
	// orders is for orders, each on a connection of its own.
	orders *fasthttp.Client
	// unpooled is for the calls to services, each on a connection of its own. On an idle
	// connection that the endpoint has just closed, a request fails after it was
	// written, so that it remains unknown whether it ran; and a late second copy of an
	// earlier answer would be taken for that to the next call.
	unpooled *fasthttp.Client
	limits   Limits
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{
		control:  newHTTPClient(maxControlBytes),
		lists:    newHTTPClient(maxListBytes),
		orders:   newHTTPClient(maxControlBytes),
		unpooled: newHTTPClient(maxAnswerBytes),
		limits:   NoLimits{},
	}
}

// SetLimits sets what receives the limits that services name. It must be called before the
// first call.
func (c *Caller) SetLimits(l Limits) { c.limits = l }

func newHTTPClient(maxBodyBytes int) *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.NoRetry,
		DialTimeout:               dial.TCP,
		ReadBufferSize:            dial.MaxHeadBytes,
		MaxResponseBodySize:       maxBodyBytes,
		ConfigureClient:           dial.OmitHeads,
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.control.CloseIdleConnections()
	c.lists.CloseIdleConnections()
}

// Do makes the call, without a retry. After a NotSentError or a RefusedError the
// call did not run; after an AnswerTooLargeError it ran; after any other error it may have run.
func (c *Caller) Do(call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	call.fillRequest(req)
	// The library would allocate the length that the head announces.
	res.StreamBody = true
	sentAt := time.Now()
	err := c.unpooled.DoTimeout(req, res, call.Timeout)
	var body []byte
	if err == nil {
		body, err = readStream(res)
	}
	if err == nil {
		observeLimit(c.limits, call.Address, sentAt, limitValues(&res.Header))
	}
	var large *dial.BodyTooLargeError
	switch {
	case errors.As(err, &large):
		return Answer{}, errors.WithStack(&AnswerTooLargeError{res.StatusCode(), err})
	case dial.NotSent(err):
		return Answer{}, errors.WithStack(&NotSentError{err})
	case err != nil:
		return Answer{}, errors.WithStack(dial.BoundError(err, maxAnswerBytes))
	case string(res.Header.Peek(wire.HeaderRan)) == "no":
		return Answer{}, errors.WithStack(&RefusedError{res.StatusCode()})
	}
	return Answer{Status: res.StatusCode(), Body: body}, nil
}

// readStream reads the body of a response that is streamed.
func readStream(res *fasthttp.Response) ([]byte, error) {
	stream := res.BodyStream()
	if stream == nil {
		return nil, nil
	}
	return dial.ReadBody(stream, int64(res.Header.ContentLength()), maxAnswerBytes)
}

// limitValues returns the values of the header with the endpoint's limit.
func limitValues(h *fasthttp.ResponseHeader) []string {
	named := h.PeekAll(wire.HeaderLimit)
	values := make([]string, 0, len(named))
	for _, v := range named {
		values = append(values, string(v))
	}
	return values
}

// fillRequest sets the method, headers, URI and body of the HTTP request.
func (c Call) fillRequest(req *fasthttp.Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(wire.HeaderRequestID, c.Request)
	if c.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, c.Key)
	}
	req.SetConnectionClose()
	req.SetRequestURI("http://" + c.Address + wire.PathOperations + c.Operation)
	req.SetBody(c.Body)
}

// Load returns an engine's load report.
func (c *Caller) Load(address string, timeout time.Duration) (wire.LoadReport, error) {
	return getJSON[wire.LoadReport](c.control, address+wire.PathEngineLoad, timeout)
}

// CacheEvents returns an engine's cache events after the sequence number since.
func (c *Caller) CacheEvents(address string, since int64, timeout time.Duration) (wire.CacheEvents, error) {
	path := address + wire.PathCacheEvents + "?since=" + strconv.FormatInt(since, 10)
	return getJSON[wire.CacheEvents](c.lists, path, timeout)
}

// getJSON sends a GET request to an endpoint and decodes the response body. A
// status other than 200 is a StatusError.
func getJSON[T any](c *fasthttp.Client, path string, timeout time.Duration) (T, error) {
	var doc T
	status, body, err := send(c, fasthttp.MethodGet, path, nil, timeout)
	if err != nil {
		return doc, err
	}
	if status != fasthttp.StatusOK {
		return doc, errors.WithStack(&StatusError{status})
	}
	return doc, errors.WithStack(json.Unmarshal(body, &doc))
}

// Cancel cancels an attempt at an engine. The HTTP status of the response is not
// checked.
func (c *Caller) Cancel(address string, cancel wire.Cancel, timeout time.Duration) error {
	data, err := json.Marshal(cancel)
	if err != nil {
		return errors.WithStack(err)
	}
	_, _, err = send(c.control, fasthttp.MethodPost, address+wire.PathCancel, data, timeout)
	return err
}
