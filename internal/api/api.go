// Package api implements the HTTP interface for callers: OpenAI-compatible
// completions and calls to plain services.
package api

import (
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/call"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// API handles callers' requests. It is safe for concurrent use.
type API struct {
	follower *confsync.Follower
	gate     Gate
	prompts  *prompt.Runner
	calls    *call.Runner
	log      *event.Logger
	metrics  *metrics.Metrics
	keys     keyringCache

	mu            sync.Mutex
	draining      bool
	inFlight      sync.WaitGroup
	inFlightCount int
}

// New returns an API.
func New(follower *confsync.Follower, gate Gate, prompts *prompt.Runner, calls *call.Runner, log *event.Logger, m *metrics.Metrics) *API {
	return &API{follower: follower, gate: gate, prompts: prompts, calls: calls, log: log, metrics: m}
}

// Handler returns the request handler with all routes of the API.
func (a *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.NotFound = a.rejectHandler(errcode.UnknownRoute, "no such path")
	r.MethodNotAllowed = a.rejectHandler(errcode.MethodNotAllowed, "the path does not take the method")
	r.POST(wire.PathCompletions, a.authenticated(a.requireUTF8(a.completions)))
	r.POST(wire.PathChatCompletions, a.authenticated(a.requireUTF8(a.completions)))
	r.GET(pathModels, a.authenticated(a.models))
	r.POST("/v1/services/{service}/{operation}", a.authenticated(a.service))
	r.GET("/v1/calls/{service}/{key:*}", a.authenticated(a.callState))
	return a.recovering(r.Handler)
}

// recovering wraps a handler so that a panic fails its request and not the process,
// which fasthttp does not prevent.
func (a *API) recovering(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if recovered := recover(); recovered != nil {
				id := string(ctx.Response.Header.Peek(wire.HeaderRequestID))
				a.log.Emit(event.NewHandlerPanicked(string(ctx.Path()), id, recovered))
				ctx.Response.Reset()
				a.reject(ctx, errcode.New(errcode.Internal, "the request failed in the system"))
			}
		}()
		next(ctx)
	}
}

// StartDraining starts draining: new requests are refused with errcode.Draining. Further
// calls have no effect.
func (a *API) StartDraining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	a.log.Emit(event.Draining{InFlight: a.inFlightCount})
}

// Drain refuses new requests and returns when no request is in flight.
func (a *API) Drain() {
	a.StartDraining()
	a.inFlight.Wait()
}

// Ready reports whether the VM accepts requests: it is not draining and its
// configuration is current.
func (a *API) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && a.follower.Standing() == configuration.StandingCurrent
}

// InFlight returns the number of requests in flight.
func (a *API) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlightCount
}

// requestInfo holds the request's ID, the authenticated organisation and the
// configuration snapshot that the request is handled with.
type requestInfo struct {
	id           string
	organisation string
	snapshot     *confsync.Snapshot
}

// authenticated counts the request as in flight, refuses it unless the VM is
// ready, and authenticates the caller. The next handler must call endRequest when
// the request has ended.
func (a *API) authenticated(next func(*fasthttp.RequestCtx, requestInfo)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		info := requestInfo{id: uuid.NewString()}
		ctx.Response.Header.Set(wire.HeaderRequestID, info.id)
		if !a.beginRequest() {
			a.fail(ctx, info, errcode.New(errcode.Draining, "the VM is shutting down").WithRetryAfter(time.Second))
			return
		}
		info.snapshot = a.follower.Current()
		var err error
		if standing := a.follower.Standing(); standing != configuration.StandingCurrent {
			err = errcode.New(errcode.NotReady, "the VM's configuration is %s", standing).WithRetryAfter(time.Second)
		} else {
			info.organisation, err = authenticate(ctx, a.keys.get(info.snapshot))
		}
		if err != nil {
			a.endRequest()
			a.fail(ctx, info, err)
			return
		}
		next(ctx, info)
	}
}

// requireUTF8 refuses a body that is not valid UTF-8, since JSON decoding would
// silently replace the invalid bytes.
func (a *API) requireUTF8(next func(*fasthttp.RequestCtx, requestInfo)) func(*fasthttp.RequestCtx, requestInfo) {
	return func(ctx *fasthttp.RequestCtx, info requestInfo) {
		if !utf8.Valid(ctx.PostBody()) {
			a.endRequest()
			a.fail(ctx, info, errcode.New(errcode.BadRequest, "the body is not valid UTF-8"))
			return
		}
		next(ctx, info)
	}
}

// beginRequest counts a request as in flight. It reports false, without counting
// it, if the VM is draining.
func (a *API) beginRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.inFlight.Add(1)
	a.inFlightCount++
	return true
}

// endRequest removes a request from the in-flight count.
func (a *API) endRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlightCount--
	a.inFlight.Done()
}

// deadline returns the time by which the request must end: after the service's
// maximum timeout or the shorter one of the request's timeout header. An invalid
// header is an errcode.BadRequest.
func deadline(ctx *fasthttp.RequestCtx, maxMs int64) (time.Time, error) {
	ms := maxMs
	if text := ctx.Request.Header.Peek(wire.HeaderTimeoutMs); len(text) > 0 {
		requestedMs, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil || requestedMs <= 0 {
			return time.Time{}, errcode.New(errcode.BadRequest, "%s must be a positive number", wire.HeaderTimeoutMs)
		}
		ms = min(ms, requestedMs)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}
