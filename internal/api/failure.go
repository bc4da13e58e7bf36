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

// body is the shape of every failure.
type body struct {
	Error failure `json:"error"`
}

type failure struct {
	Code         errcode.Code `json:"code"`
	Message      string       `json:"message"`
	Ran          errcode.Ran  `json:"ran"`
	RequestID    string       `json:"request_id"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

// failBody encodes a failure.
func failBody(id string, e *errcode.Error) []byte {
	data, err := json.Marshal(body{failure{e.Code, e.Message, e.Ran, id, e.RetryAfter.Milliseconds()}})
	if err != nil {
		return nil
	}
	return data
}

// fail answers with a failure.
func (a *API) fail(ctx *fasthttp.RequestCtx, s scope, err error) {
	e := errcode.From(err)
	a.log.Emit(event.RequestFailed{Request: s.id, Organisation: s.organisation, Code: string(e.Code)})
	a.metrics.Failed(string(e.Code))
	writeFailure(&ctx.Response, s.id, e)
}

func writeFailure(res *fasthttp.Response, id string, e *errcode.Error) {
	res.Header.Set(wire.HeaderRan, string(e.Ran))
	if e.RetryAfter > 0 {
		res.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	res.Header.SetContentType("application/json")
	res.SetStatusCode(errcode.Lookup(e.Code).Status)
	res.SetBody(failBody(id, e))
}

// refuse is a handler that always fails with the code.
func (a *API) refuse(code errcode.Code, message string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		a.reject(ctx, errcode.New(code, "%s", message))
	}
}

// reject answers a request of which nothing is known.
func (a *API) reject(ctx *fasthttp.RequestCtx, e *errcode.Error) {
	s := scope{id: uuid.NewString()}
	ctx.Response.Header.Set(wire.HeaderRequestID, s.id)
	a.fail(ctx, s, e)
}

// HandleError answers a request that the server could not read. The text of
// err is left out, as it may quote the request.
func (a *API) HandleError(ctx *fasthttp.RequestCtx, err error) {
	a.reject(ctx, readError(err))
}

// Refuse answers with a failure that is neither logged nor counted, for the
// operators' listener.
func Refuse(ctx *fasthttp.RequestCtx, e *errcode.Error) {
	id := uuid.NewString()
	ctx.Response.Header.Set(wire.HeaderRequestID, id)
	writeFailure(&ctx.Response, id, e)
}

// UnreadableRequest is Refuse for a request that the server could not read.
func UnreadableRequest(ctx *fasthttp.RequestCtx, err error) { Refuse(ctx, readError(err)) }

func readError(err error) *errcode.Error {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errcode.New(errcode.BodyTooLarge, "the body is over the limit")
	case errors.As(err, &small):
		return errcode.New(errcode.HeaderTooLarge, "the headers are over the limit")
	case errors.As(err, &network) && network.Timeout():
		return errcode.New(errcode.RequestTimeout, "the request took too long to arrive")
	}
	return errcode.New(errcode.BadRequest, "the request could not be read")
}

// TooManyConnections is the whole HTTP response to a connection over the limit.
func TooManyConnections() []byte {
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
