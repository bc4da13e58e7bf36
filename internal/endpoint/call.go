package endpoint

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Call is one call to a plain service.
type Call struct {
	Address   string
	Operation string
	Request   string
	Key       string
	Body      []byte
	Timeout   time.Duration
}

// Answer is a plain service's answer.
type Answer struct {
	Status int
	Body   []byte
}

// NotSentError says that no byte of the request was handed over.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "endpoint: not sent: " + e.Cause.Error() }

// Caller makes calls to plain services and reads engines' reports.
type Caller struct {
	http *fasthttp.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Close frees idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Do makes the call, once. A NotSentError or RefusedError proves that it did
// not run; any other error leaves that open.
func (c *Caller) Do(call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(wire.HeaderRequestID, call.Request)
	if call.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, call.Key)
	}
	req.SetRequestURI("http://" + call.Address + wire.PathOperations + call.Operation)
	req.SetBody(call.Body)
	if err := c.http.DoTimeout(req, res, call.Timeout); err != nil {
		return Answer{}, sendError(err)
	}
	if string(res.Header.Peek(wire.HeaderRan)) == "no" {
		return Answer{}, errors.WithStack(&RefusedError{res.StatusCode()})
	}
	return Answer{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// sendError tells a failed dial from a failure after it.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithStack(&NotSentError{err})
	}
	return errors.WithStack(err)
}

// Load reads an engine's load report.
func (c *Caller) Load(address string, timeout time.Duration) (wire.LoadReport, error) {
	var report wire.LoadReport
	status, body, err := c.http.GetTimeout(nil, "http://"+address+wire.PathEngineLoad, timeout)
	if err != nil {
		return report, errors.WithStack(err)
	}
	if status != fasthttp.StatusOK {
		return report, errors.WithStack(&StatusError{status})
	}
	return report, errors.WithStack(json.Unmarshal(body, &report))
}

// CacheEvents reads an engine's cache events after the sequence number.
func (c *Caller) CacheEvents(address string, since int64, timeout time.Duration) (wire.CacheEvents, error) {
	var events wire.CacheEvents
	url := "http://" + address + wire.PathCacheEvents + "?since=" + strconv.FormatInt(since, 10)
	status, body, err := c.http.GetTimeout(nil, url, timeout)
	if err != nil {
		return events, errors.WithStack(err)
	}
	if status != fasthttp.StatusOK {
		return events, errors.WithStack(&StatusError{status})
	}
	return events, errors.WithStack(json.Unmarshal(body, &events))
}

// Cancel ends an attempt at an engine.
func (c *Caller) Cancel(address string, cancel wire.Cancel, timeout time.Duration) error {
	data, err := json.Marshal(cancel)
	if err != nil {
		return errors.WithStack(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + wire.PathCancel)
	req.SetBody(data)
	return errors.WithStack(c.http.DoTimeout(req, res, timeout))
}
