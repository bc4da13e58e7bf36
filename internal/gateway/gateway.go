package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// Tables returns the configuration in force, or nil where there is none yet.
type Tables interface {
	Current() *routing.Table
}

// Directory finds endpoints.
type Directory interface {
	Entry(id string) (directory.Entry, bool)
}

// Placed is the answer to a request for an endpoint.
type Placed struct {
	dispatch.Placement
	// Holder is the VM that decided.
	Holder string
}

// RefusedError says that a job got no endpoint.
type RefusedError struct {
	dispatch.Refusal
	Holder string
}

// Error implements error.
func (e *RefusedError) Error() string { return "placement refused: " + string(e.Reason) }

// Placer finds endpoints for requests.
type Placer interface {
	// Place returns where the job goes. The error is a RefusedError, or that of
	// the context.
	Place(ctx context.Context, job dispatch.Job) (Placed, error)
	// Began notes the first event of a placed job.
	Began(job string)
	// Finished notes the end of a placed job. blamed is the endpoint at fault;
	// empty for the one that received it.
	Finished(job string, outcome dispatch.Outcome, blamed string)
}

// Config is what a Gateway is made of.
type Config struct {
	// VM is this VM's name.
	VM        string
	Tables    Tables
	Directory Directory
	Placer    Placer
	Dialect   provider.Dialect
	Transport *upstream.Transport
	Tickets   *ticket.Keeper
	Log       *event.Logger
	Metrics   *metrics.Metrics
	// Repeats returns a new budget of repeats for a service.
	Repeats func() *retry.Window
	// Draw returns numbers uniform from 0 to 1.
	Draw func() float64
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg Config
	// stopping says that answers end their connections.
	stopping atomic.Bool
	inFlight atomic.Int64
	// jobs counts the jobs, to name them.
	jobs atomic.Int64

	mu sync.Mutex
	// retryBudgets are the budgets by service.
	retryBudgets map[string]*retry.Window

	requests gometrics.Counter
	resends  gometrics.Counter
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg:          cfg,
		retryBudgets: make(map[string]*retry.Window),
		requests:     cfg.Metrics.Counter("gateway.requests"),
		resends:      cfg.Metrics.Counter("gateway.resends"),
	}
}

// jobID names a job: callers may use an id twice.
func (g *Gateway) jobID(request string) string {
	return request + "/" + strconv.FormatInt(g.jobs.Add(1), 36)
}

// Stop makes answers end their connections.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// InFlight is the number of requests that are being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.requests.Inc(1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		gateway: g,
		w:       w,
		r:       r,
		call:    g.cfg.Dialect.Call(r.Header),
		arrived: time.Now(),
	}
	defer x.logEnd()
	if !x.admit() {
		return
	}
	x.serve()
}

// budget returns the service's budget; the lock is held.
func (g *Gateway) budget(service string) *retry.Window {
	b := g.retryBudgets[service]
	if b == nil {
		b = g.cfg.Repeats()
		g.retryBudgets[service] = b
	}
	return b
}

// SetRepeats changes the bounds of the budgets of repeats.
func (g *Gateway) SetRepeats(b retry.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.retryBudgets {
		w.SetBounds(b.Ratio, b.Allowance)
	}
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Requested(time.Now())
}

// takeRetry reports whether a request to the service may be sent once more.
func (g *Gateway) takeRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget(service).Take(time.Now()) {
		return false
	}
	g.resends.Inc(1)
	return true
}

// readBody reads a request's body up to the limit; ok is false beyond it.
func readBody(r *http.Request, limit int) (body []byte, ok bool, err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, true, nil
	}
	if limit > 0 && r.ContentLength > int64(limit) {
		return nil, false, nil
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = io.LimitReader(r.Body, int64(limit)+1)
	}
	body, err = io.ReadAll(reader)
	return body, limit <= 0 || len(body) <= limit, err
}
