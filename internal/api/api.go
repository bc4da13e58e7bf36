// Package api is the callers' interface: OpenAI-compatible completions and
// calls to plain services over HTTP.
package api

import (
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/call"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// API answers callers. It is safe for concurrent use.
type API struct {
	follower *confsync.Follower
	prompts  *prompt.Runner
	calls    *call.Runner
	log      *event.Logger

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
	count    int
}

// New returns an API.
func New(follower *confsync.Follower, prompts *prompt.Runner, calls *call.Runner, log *event.Logger) *API {
	return &API{follower: follower, prompts: prompts, calls: calls, log: log}
}

// Handler routes callers' requests.
func (a *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST(wire.PathCompletions, a.guard(a.completions))
	r.POST(wire.PathChatCompletions, a.guard(a.completions))
	r.POST("/v1/services/{service}/{operation}", a.guard(a.service))
	r.GET("/v1/calls/{service}/{key:*}", a.guard(a.callState))
	return r.Handler
}

// Drain refuses new requests, and waits for those in flight.
func (a *API) Drain() {
	a.mu.Lock()
	a.draining = true
	a.log.Emit(event.Draining{InFlight: a.count})
	a.mu.Unlock()
	a.inFlight.Wait()
}

// Ready reports whether the VM takes requests.
func (a *API) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && a.follower.Current() != nil
}

// scope is what is known of a request before its handler runs.
type scope struct {
	id           string
	organisation string
	snapshot     *confsync.Snapshot
}

// guard checks that the VM is ready and the caller is known.
func (a *API) guard(next func(*fasthttp.RequestCtx, scope)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s := scope{id: uuid.NewString()}
		ctx.Response.Header.Set(wire.HeaderRequestID, s.id)
		if !a.enter() {
			a.fail(ctx, s, errcode.New(errcode.Draining, "the VM is shutting down").WithRetryAfter(time.Second))
			return
		}
		s.snapshot = a.follower.Current()
		var err error
		if s.snapshot == nil {
			err = errcode.New(errcode.NotReady, "no configuration is in force yet").WithRetryAfter(time.Second)
		} else {
			s.organisation, err = authenticate(ctx, s.snapshot)
		}
		if err != nil {
			a.leave()
			a.fail(ctx, s, err)
			return
		}
		next(ctx, s)
	}
}

// enter counts a request in, unless the VM is draining.
func (a *API) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.inFlight.Add(1)
	a.count++
	return true
}

// leave counts a request out.
func (a *API) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.inFlight.Done()
}

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
	ctx.Response.Header.Set(wire.HeaderRan, string(e.Ran))
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetStatusCode(errcode.Lookup(e.Code).Status)
	ctx.SetBody(failBody(s.id, e))
}

// deadline is the time by which the request must end.
func deadline(ctx *fasthttp.RequestCtx, maxMs int64) (time.Time, error) {
	ms := maxMs
	if text := ctx.Request.Header.Peek(wire.HeaderTimeoutMs); len(text) > 0 {
		asked, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil || asked <= 0 {
			return time.Time{}, errcode.New(errcode.BadRequest, "%s must be a positive number", wire.HeaderTimeoutMs)
		}
		ms = min(ms, asked)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}
