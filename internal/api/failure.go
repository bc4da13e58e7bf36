package api

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// failureBody is the response body of every failure.
type failureBody struct {
	Error failure `json:"error"`
}

type failure struct {
	Code         errcode.Code `json:"code"`
	Message      string       `json:"message"`
	Ran          errcode.Ran  `json:"ran"`
	RequestID    string       `json:"request_id"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

// encodeFailure encodes the response body of a failure.
func encodeFailure(id string, e *errcode.Error) []byte {
	data, err := json.Marshal(failureBody{failure{e.Code, e.Message, e.Ran, id, e.RetryAfter.Milliseconds()}})
	if err != nil {
		return nil
	}
	return data
}

// fail logs and counts a failure and writes it as the response.
func (a *API) fail(ctx *fasthttp.RequestCtx, info requestInfo, err error) {
	e := errcode.From(err)
	a.log.Emit(event.RequestFailed{Request: info.id, Organisation: info.organisation, Code: string(e.Code)})
	a.metrics.Failed(string(e.Code))
	writeFailure(&ctx.Response, info.id, e)
}

// writeFailure sets the status, the headers and the body of a failure.
func writeFailure(res *fasthttp.Response, id string, e *errcode.Error) {
	res.Header.Set(wire.HeaderRan, string(e.Ran))
	if e.RetryAfter > 0 {
		res.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	res.Header.SetContentType("application/json")
	res.SetStatusCode(errcode.Lookup(e.Code).Status)
	res.SetBody(encodeFailure(id, e))
}

// rejectHandler returns a handler that fails every request with the code.
func (a *API) rejectHandler(code errcode.Code, message string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		a.reject(ctx, errcode.New(code, "%s", message))
	}
}

// reject fails a request that reached no handler, under a new request ID.
func (a *API) reject(ctx *fasthttp.RequestCtx, e *errcode.Error) {
	info := requestInfo{id: uuid.NewString()}
	ctx.Response.Header.Set(wire.HeaderRequestID, info.id)
	a.fail(ctx, info, e)
}

// HandleError fails a request that the server could not read. The response leaves
// out the text of err, as it may quote the request.
func (a *API) HandleError(ctx *fasthttp.RequestCtx, err error) {
	a.reject(ctx, classifyReadError(err))
}

// WriteFailure writes a failure that is neither logged nor counted. The operators'
// listener uses it.
func WriteFailure(ctx *fasthttp.RequestCtx, e *errcode.Error) {
	id := uuid.NewString()
	ctx.Response.Header.Set(wire.HeaderRequestID, id)
	writeFailure(&ctx.Response, id, e)
}

// WriteReadError calls WriteFailure for a request that the server could not read.
func WriteReadError(ctx *fasthttp.RequestCtx, err error) {
	WriteFailure(ctx, classifyReadError(err))
}

// classifyReadError returns the failure for an error of the server in reading a
// request.
func classifyReadError(err error) *errcode.Error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errcode.New(errcode.BodyTooLarge, "the body is over the limit")
	case errors.As(err, &smallBuffer):
		return errcode.New(errcode.HeaderTooLarge, "the headers are over the limit")
	case errors.As(err, &netErr) && netErr.Timeout():
		return errcode.New(errcode.RequestTimeout, "the request took too long to arrive")
	}
	return errcode.New(errcode.BadRequest, "the request could not be read")
}

// TooManyConnectionsResponse returns the encoded HTTP response to a connection over the
// limit.
func TooManyConnectionsResponse() []byte {
	var res fasthttp.Response
	id := uuid.NewString()
	res.Header.Set(wire.HeaderRequestID, id)
	res.SetConnectionClose()
	e := errcode.New(errcode.TooManyConnections, "too many connections are open").WithRetryAfter(time.Second)
	writeFailure(&res, id, e)
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	if res.Write(w) != nil || w.Flush() != nil {
		return nil
	}
	return b.Bytes()
}
