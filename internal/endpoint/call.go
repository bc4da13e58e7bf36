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
	Address   string
	Operation string
	Request   string
	Key       string
	Body      []byte
	Timeout   time.Duration
	// Fresh opens a connection for this call alone.
	Fresh bool
}

// Answer is a plain service's answer.
type Answer struct {
	Status int
	Body   []byte
	// TooLarge says that the body was over the limit and was not read.
	TooLarge bool
}

// NotSentError says that no byte of the request was handed over.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "endpoint: not sent: " + e.Cause.Error() }

// maxAnswerBytes is the largest answer that is read.
const maxAnswerBytes = 8 << 20

// Caller makes calls to plain services and reads engines' reports.
type Caller struct {
	http *fasthttp.Client
	// fresh never has an idle connection: one that the endpoint closed a moment
	// ago fails after the request was written, which leaves its fate unknown.
	fresh *fasthttp.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: newHTTP(), fresh: newHTTP()}
}

func newHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                dial.Once,
		DialTimeout:               dial.TCP,
		MaxResponseBodySize:       maxAnswerBytes,
	}
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
	call.write(req)
	client := c.http
	if call.Fresh {
		client = c.fresh
	}
	err := client.DoTimeout(req, res, call.Timeout)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return Answer{Status: res.StatusCode(), TooLarge: true}, nil
	case dial.NotSent(err):
		return Answer{}, errors.WithStack(&NotSentError{err})
	case err != nil:
		return Answer{}, errors.WithStack(err)
	case string(res.Header.Peek(wire.HeaderRan)) == "no":
		return Answer{}, errors.WithStack(&RefusedError{res.StatusCode()})
	}
	return Answer{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// write fills in the HTTP request.
func (c Call) write(req *fasthttp.Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(wire.HeaderRequestID, c.Request)
	if c.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, c.Key)
	}
	if c.Fresh {
		req.SetConnectionClose()
	}
	req.SetRequestURI("http://" + c.Address + wire.PathOperations + c.Operation)
	req.SetBody(c.Body)
}

// Load reads an engine's load report.
func (c *Caller) Load(address string, timeout time.Duration) (wire.LoadReport, error) {
	return read[wire.LoadReport](c, address+wire.PathEngineLoad, timeout)
}

// CacheEvents reads an engine's cache events after the sequence number.
func (c *Caller) CacheEvents(address string, since int64, timeout time.Duration) (wire.CacheEvents, error) {
	path := address + wire.PathCacheEvents + "?since=" + strconv.FormatInt(since, 10)
	return read[wire.CacheEvents](c, path, timeout)
}

// read gets a document of an endpoint.
func read[T any](c *Caller, path string, timeout time.Duration) (T, error) {
	var doc T
	status, body, err := c.send(fasthttp.MethodGet, path, nil, timeout)
	if err != nil {
		return doc, err
	}
	if status != fasthttp.StatusOK {
		return doc, errors.WithStack(&StatusError{status})
	}
	return doc, errors.WithStack(json.Unmarshal(body, &doc))
}

// Cancel ends an attempt at an engine.
func (c *Caller) Cancel(address string, cancel wire.Cancel, timeout time.Duration) error {
	data, err := json.Marshal(cancel)
	if err != nil {
		return errors.WithStack(err)
	}
	_, _, err = c.send(fasthttp.MethodPost, address+wire.PathCancel, data, timeout)
	return err
}
