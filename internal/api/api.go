// Package api is the callers' interface: OpenAI-compatible completions and
// calls to plain services over HTTP.
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

// API answers callers. It is safe for concurrent use.
type API struct {
	follower *confsync.Follower
	gate     Gate
	prompts  *prompt.Runner
	calls    *call.Runner
	log      *event.Logger
	metrics  *metrics.Metrics
	keys     keyrings

	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
	count    int
}

// New returns an API.
func New(follower *confsync.Follower, gate Gate, prompts *prompt.Runner, calls *call.Runner, log *event.Logger, m *metrics.Metrics) *API {
	return &API{follower: follower, gate: gate, prompts: prompts, calls: calls, log: log, metrics: m}
}

// Handler routes callers' requests.
func (a *API) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.NotFound = a.refuse(errcode.UnknownRoute, "no such path")
	r.MethodNotAllowed = a.refuse(errcode.MethodNotAllowed, "the path does not take the method")
	r.POST(wire.PathCompletions, a.guard(a.textual(a.completions)))
	r.POST(wire.PathChatCompletions, a.guard(a.textual(a.completions)))
	r.GET(pathModels, a.guard(a.models))
	r.POST("/v1/services/{service}/{operation}", a.guard(a.service))
	r.GET("/v1/calls/{service}/{key:*}", a.guard(a.callState))
	return r.Handler
}

// Refuse refuses new requests from now on.
func (a *API) Refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	a.log.Emit(event.Draining{InFlight: a.count})
}

// Drain refuses new requests, and waits for those in flight.
func (a *API) Drain() {
	a.Refuse()
	a.inFlight.Wait()
}

// Ready reports whether the VM takes requests.
func (a *API) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining && a.follower.Standing() == configuration.StandingCurrent
}

// InFlight is the number of requests that have no end yet.
func (a *API) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
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
		if standing := a.follower.Standing(); standing != configuration.StandingCurrent {
			err = errcode.New(errcode.NotReady, "the VM's configuration is %s", standing).WithRetryAfter(time.Second)
		} else {
			s.organisation, err = authenticate(ctx, a.keys.of(s.snapshot))
		}
		if err != nil {
			a.leave()
			a.fail(ctx, s, err)
			return
		}
		next(ctx, s)
	}
}

// textual refuses a body that is not UTF-8, which decoding would change
// silently.
func (a *API) textual(next func(*fasthttp.RequestCtx, scope)) func(*fasthttp.RequestCtx, scope) {
	return func(ctx *fasthttp.RequestCtx, s scope) {
		if !utf8.Valid(ctx.PostBody()) {
			a.leave()
			a.fail(ctx, s, errcode.New(errcode.BadRequest, "the body is not valid UTF-8"))
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
