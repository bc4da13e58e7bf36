package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/hedging"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/ratelimit"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/core/shutdown"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// Tables provides the routing table of the current configuration; nil before the
// first one.
type Tables interface {
	Current() *routing.Table
}

// Directory is this VM's view of the endpoints.
type Directory interface {
	// Lookup returns the entry with the ID and whether it may be sent requests now.
	Lookup(id string) (directory.Entry, directory.Availability)
	// Paused returns the IDs of the service's endpoints that want no requests from this
	// VM for now. If the service has no other endpoint, wait is the time until the
	// first of them may be sent requests again; otherwise it is zero.
	Paused(service string) (ids []string, wait time.Duration)
	// Observed records what a response's header tells about the incarnation of an endpoint
	// to which the request was sent, also if it is not listed any more.
	Observed(i directory.Incarnation, r provider.ResponseHeader)
}

// Freshness tells whether Tables and Directory are up to date.
type Freshness interface {
	// Await returns once they are, or after a bounded time. It returns immediately
	// unless the VM was suspended.
	Await(ctx context.Context)
}

// Placed is a placement and its origin.
type Placed struct {
	dispatch.Placement
	// Holder is the VM that made the placement.
	Holder string
}

// RefusedError reports that placement refused a job.
type RefusedError struct {
	dispatch.Refusal
	// Holder is the VM that refused it.
	Holder string
}

// Error implements error.
func (e *RefusedError) Error() string { return "placement refused: " + string(e.Reason) }

// Placer assigns requests to endpoints.
type Placer interface {
	// Place returns the placement of the job. The error is a RefusedError or the
	// context's error.
	Place(ctx context.Context, job dispatch.Job) (Placed, error)
	// Answered records what the header of the response to a placed job says of its
	// endpoint's limit.
	Answered(job string, limit ratelimit.Limit)
	// Began records the first event of a placed job.
	Began(job string)
	// Finished records the end of a placed job.
	Finished(job string, end dispatch.End)
	// Withheld returns the subject for which a request to the service with the digest and
	// the parts is refused, and for how long it is; the subject is empty if it is not.
	Withheld(service, digest string, parts []string) (subject quarantine.Subject, wait time.Duration)
}

// Config has the dependencies of a Gateway.
type Config struct {
	// VM is the name of this VM.
	VM string
	// FailureDomain is the one of this VM; empty if it is not known.
	FailureDomain string
	Tables        Tables
	Directory     Directory
	Freshness     Freshness
	Placer        Placer
	Headers       provider.HeaderTranslator
	Transport     *upstream.Transport
	Tickets       *ticket.Reserver
	// Memory is that for the bodies of requests and for what is retained of responses; nil for
	// no limit.
	Memory  *membudget.Budget
	Log     *event.Logger
	Metrics *metrics.Metrics
	// NewRetryBudget returns a new retry budget for a service.
	NewRetryBudget func() *retry.Window
	// HedgeSilent allows asking another endpoint beside one that does not begin to respond.
	HedgeSilent bool
	// Random returns uniformly distributed random numbers from 0 to 1.
	Random func() float64
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg Config
	// stop makes responses close their connections; nil while the VM does not stop.
	stop atomic.Pointer[shutdown.Plan]
	// exiting ends, by exit, when the requests without a response must be answered, as the VM
	// is about to exit, and breaking, by breakOff, when the responses in progress must end.
	exiting  context.Context //nolint:containedctx // the lifetime of the process
	exit     context.CancelFunc
	breaking context.Context //nolint:containedctx // the lifetime of the process
	breakOff context.CancelFunc
	inFlight atomic.Int64
	// broken and unfinished count the requests that the exit of the VM ended: those whose
	// responses had begun, and those that got a failure.
	broken, unfinished atomic.Int64
	// jobs counts the jobs; the count makes their IDs unique.
	jobs atomic.Int64

	mu sync.Mutex
	// retryBudgets maps services to their retry budgets.
	retryBudgets map[string]*retry.Window
	// hedges maps services to the bounds of their hedges, and responses maps routes to
	// the times to their responses or, for predicted prompts, the ratios of those to the predictions.
	hedges    map[string]*hedging.Guard
	responses map[string]*hedging.Statistics

	// overShare counts the requests that were refused as their organisations were over their
	// shares.
	overShare organisationCounters

	requests gometrics.Counter
	resends  gometrics.Counter
	// hedgesSent counts the hedged requests, hedgesWon those that were answered before the first
	// attempt, and hedgesRefused the searches that the bounds prevented.
	hedgesSent, hedgesWon, hedgesRefused gometrics.Counter
	// closeFramed counts the responses that end with their connection.
	closeFramed gometrics.Counter
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	exiting, exit := context.WithCancel(context.Background())
	breaking, breakOff := context.WithCancel(context.Background())
	return &Gateway{
		cfg:           cfg,
		exiting:       exiting,
		exit:          exit,
		breaking:      breaking,
		breakOff:      breakOff,
		retryBudgets:  make(map[string]*retry.Window),
		requests:      cfg.Metrics.Counter("gateway.requests"),
		hedges:        make(map[string]*hedging.Guard),
		responses:     make(map[string]*hedging.Statistics),
		resends:       cfg.Metrics.Counter("gateway.resends"),
		hedgesSent:    cfg.Metrics.Counter("gateway.hedges"),
		hedgesWon:     cfg.Metrics.Counter("gateway.hedges_won"),
		hedgesRefused: cfg.Metrics.Counter("gateway.hedges_refused"),
		closeFramed:   cfg.Metrics.Counter("gateway.responses_framed_by_close"),
	}
}

// jobID returns a unique ID for a job. The request's ID is not enough, because
// callers may reuse it.
func (g *Gateway) jobID(request string) string {
	return request + "/" + strconv.FormatInt(g.jobs.Add(1), 36)
}

// Stop makes the responses to all later requests close their connections. From plan.Late on, only
// requests that may run again are taken: a stream or a call that lasts longer than usual would be
// cut by the end of the process. Requests that are still in flight at plan.Answer are answered
// then, as far as their responses have not begun: as not run if they were sent to no endpoint.
// The responses that have begun are broken off at plan.Break.
func (g *Gateway) Stop(plan shutdown.Plan) {
	g.stop.Store(&plan)
	time.AfterFunc(time.Until(plan.Answer), g.exit)
	time.AfterFunc(time.Until(plan.Break), g.breakOff)
}

// tooLate reports whether a request of the route that arrived at the time is refused because the
// VM stops.
func (g *Gateway) tooLate(route *routing.Route, arrived time.Time) bool {
	mustNotBeCut := route.Kind == routing.Streaming || !route.Repeatable()
	return mustNotBeCut && g.afterLate(arrived)
}

// afterLate reports whether a request that arrived at the time must not be cut by the exit of the VM.
func (g *Gateway) afterLate(arrived time.Time) bool {
	stop := g.stop.Load()
	return stop != nil && !arrived.Before(stop.Late)
}

// sinceStop returns the time from the begin of the VM's stop to the arrival of a request, which is
// negative for an earlier one; zero if the VM does not stop.
func (g *Gateway) sinceStop(arrived time.Time) time.Duration {
	stop := g.stop.Load()
	if stop == nil {
		return 0
	}
	return arrived.Sub(stop.Began)
}

// EndedByExit returns the number of requests that the exit of the VM has ended: those whose
// responses it broke off, and those that it answered with a failure.
func (g *Gateway) EndedByExit() (broken, unfinished int) {
	return int(g.broken.Load()), int(g.unfinished.Load())
}

// countExit counts a request that ended with the failure while the VM exits.
func (g *Gateway) countExit(code failureCode) {
	switch code {
	case "", failAbandoned:
	case failBrokenOff:
		g.broken.Add(1)
	default:
		g.unfinished.Add(1)
	}
}

// exitingSoon reports whether the requests in flight must be answered now.
func (g *Gateway) exitingSoon() bool { return g.exiting.Err() != nil }

// InFlight returns the number of in-flight requests.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.requests.Inc(1)
	if g.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		gateway: g,
		w:       w,
		r:       r,
		call:    g.cfg.Headers.DecodeCaller(r.Header),
		arrived: time.Now(),
	}
	defer x.releaseMemory()
	defer x.logEnd()
	defer x.recoverPanic()
	g.cfg.Freshness.Await(r.Context())
	if !x.admit() {
		return
	}
	if g.tooLate(x.route, x.arrived) {
		x.refuseLate()
		return
	}
	x.serve()
}

// recoverPanic logs a panic of the handler other than the one that aborts a response,
// and aborts the response.
func (x *exchange) recoverPanic() {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered != http.ErrAbortHandler { //nolint:errorlint // the value of a panic, as net/http compares it
		x.code = failPanicked
		x.gateway.cfg.Log.Emit(event.NewHandlerPanicked(x.r.URL.Path, x.call.ID, recovered))
	}
	panic(http.ErrAbortHandler)
}

// budget returns the service's retry budget and creates it if there is none. The
// caller holds mu.
func (g *Gateway) budget(service string) *retry.Window {
	b := g.retryBudgets[service]
	if b == nil {
		b = g.cfg.NewRetryBudget()
		g.retryBudgets[service] = b
	}
	return b
}

// SetRetryBounds changes the bounds of the existing retry budgets.
func (g *Gateway) SetRetryBounds(b retry.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.retryBudgets {
		w.SetBounds(b.Ratio, b.Allowance)
	}
}

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.budget(service).RecordRequest(now)
	if g.cfg.HedgeSilent {
		g.guard(service).RecordRequest(now)
	}
}

// takeRetry takes a retry from the service's budget. It returns false if the
// budget is exhausted.
func (g *Gateway) takeRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget(service).Take(time.Now()) {
		return false
	}
	g.resends.Inc(1)
	return true
}

// allowsRetry reports whether takeRetry would return true, and takes none.
func (g *Gateway) allowsRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Allows(time.Now())
}
