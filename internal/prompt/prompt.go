// Package prompt serves one admitted prompt until its answer is complete or has
// failed, over as many attempts as its deadline, the attempt limit and the
// retry budget allow. The request chart makes the decisions; this package
// carries out the chart's actions.
//
// An Answer is a pull interface: the goroutine that writes to the caller reads
// the engine's events itself. A token thus passes from one connection to the
// other without a hand-over between goroutines, and a slow caller applies
// back-pressure to the engine's stream and to nothing else.
package prompt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/breaker"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// Config holds the time limits, the retry policy and the circuit breaker
// parameters of requests.
type Config struct {
	Retry   retry.Config
	Breaker breaker.Config
	// StallBase and StallFactor limit the wait for an attempt's first token to
	// StallBase plus StallFactor times the predicted time to first token, if
	// another endpoint can take the prompt; otherwise only the deadline limits it.
	StallBase   time.Duration
	StallFactor float64
	// StallBetween limits the time between two tokens of an attempt, with the same
	// condition.
	StallBetween time.Duration
	// CallerStall limits the time that a caller may take to read data that is
	// ready.
	CallerStall time.Duration
	// CheckInterval is the interval at which the progress of a request is checked.
	CheckInterval time.Duration
	// CancelTimeout limits a call that cancels an attempt at an engine.
	CancelTimeout time.Duration
}

// DefaultConfig returns the default Config of a VM.
func DefaultConfig() Config {
	return Config{
		Retry:         retry.Default(),
		Breaker:       breaker.Default(),
		StallBase:     10 * time.Second,
		StallFactor:   4,
		StallBetween:  5 * time.Second,
		CallerStall:   30 * time.Second,
		CheckInterval: 500 * time.Millisecond,
		CancelTimeout: time.Second,
	}
}

// Fleet places prompts on the endpoints and records the outcome of attempts.
type Fleet interface {
	// Place chooses an endpoint of the service for the prompt, excluding those
	// in except.
	Place(snap *confsync.Snapshot, service string, except map[string]bool, p placement.Prompt) (placement.Choice, placement.View)
	// Views returns the service's endpoints that accept prompts, excluding
	// those in except.
	Views(snap *confsync.Snapshot, service string, except map[string]bool) []placement.View
	// SentPrompt records that the request was sent to the endpoint, FirstToken
	// that its first token arrived, Ended that its attempt at the endpoint is
	// over, and Answered the statistics of its complete answer.
	SentPrompt(id, request string, p placement.Prompt, priority wire.Priority)
	FirstToken(id, request string)
	Ended(id, request string)
	Answered(id string, a fleet.Answer)
	// Done records that the request is over. The argument tokens is the length
	// of its complete answer, or zero if it has none.
	Done(request string, tokens int64)
	// Reported records the load report that was returned with an answer.
	Reported(id string, e configuration.Endpoint, r wire.LoadReport)
	// Failed records that the endpoint failed.
	Failed(id string)
}

// Canceller cancels attempts at endpoints.
type Canceller interface {
	Cancel(address string, cancel wire.Cancel, timeout time.Duration) error
}

// Holder reserves memory at endpoints.
type Holder interface {
	// Take reserves all shares of the claim or none.
	Take(ctx context.Context, c reserve.Claim) (*reserve.Grant, error)
	// Owner returns the name of the VM that owns the reservations.
	Owner() string
}

// Request is one admitted prompt.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Path         string
	Body         []byte
	// Tokens is an upper bound on the length of the prompt, MaxTokens the
	// maximum length of the answer, both in tokens.
	Tokens    int64
	MaxTokens int64
	// Blocks are the hashes of the prompt's complete blocks.
	Blocks   []uint64
	Class    configuration.LengthClass
	Deadline time.Time
	Snapshot *confsync.Snapshot
	Caller   Caller
}

// Placement returns the prompt as the first attempt passes it to placement.
func (r *Request) Placement() placement.Prompt {
	priority := wire.PriorityHigh
	if r.Class.LowPriority {
		priority = wire.PriorityLow
	}
	return placement.Prompt{
		Tokens:      r.Tokens,
		MaxTokens:   r.MaxTokens,
		Priority:    priority,
		DelayWeight: r.Snapshot.Services[r.Service].DelayWeight,
		Blocks:      r.Blocks,
	}
}

// Caller is the connection on which the request arrived. Its methods may be
// called from any goroutine.
type Caller interface {
	// Gone reports whether the caller closed the connection.
	Gone() bool
	// Abort interrupts a blocked write to the caller.
	Abort()
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	cfg       Config
	chart     *statechart.Chart
	fleet     Fleet
	streams   *endpoint.Client
	canceller Canceller
	holder    Holder
	log       *event.Logger
	metrics   *metrics.Metrics
	limits    endpoint.Limits
	guard     crashguard.Watch

	mu       sync.Mutex
	rng      *rand.Rand
	budget   *retry.Budget
	breakers *breakers
	cancels  sync.WaitGroup
}

// NewRunner returns a Runner.
func NewRunner(cfg Config, f Fleet, streams *endpoint.Client, canceller Canceller, holder Holder, log *event.Logger, m *metrics.Metrics) *Runner {
	return &Runner{
		cfg:       cfg,
		chart:     statechart.MustLoad("request"),
		fleet:     f,
		streams:   streams,
		canceller: canceller,
		holder:    holder,
		log:       log,
		metrics:   m,
		limits:    endpoint.NoLimits{},
		guard:     crashguard.None{},
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		budget:    retry.NewBudget(cfg.Retry),
		breakers:  newBreakers(cfg.Breaker),
	}
}

// SetLimits sets the limits on requests that endpoints name. It must be called before the
// first request.
func (r *Runner) SetLimits(l endpoint.Limits) { r.limits = l }

// SetGuard sets what withholds requests that crash endpoints. It must be called before the
// first request.
func (r *Runner) SetGuard(g crashguard.Watch) { r.guard = g }

// Close waits until the outstanding calls that cancel attempts at engines have
// ended.
func (r *Runner) Close() { r.cancels.Wait() }

// Start begins an admitted request. The caller of Start must close the Answer.
func (r *Runner) Start(req Request) (*Answer, error) {
	a := &Answer{
		Runner:        r,
		req:           req,
		tried:         make(map[string]bool),
		reportedFree:  make(map[string]int64),
		start:         time.Now(),
		tokenInterval: r.metrics.BetweenTokens(req.Organisation, req.Class.Name),
		assembly:      stream.New(req.ID),
		digest:        quarantine.Digest([]byte(req.Organisation), []byte(req.Service), []byte(req.Path), req.Body),
		event:         evAdmitted,
	}
	machine, err := statechart.NewMachine(r.chart, statechart.Guards{mayRetry: a.mayRetry, mayWait: a.mayWait})
	if err != nil {
		return nil, err
	}
	a.machine = machine
	r.depositRetryBudget(req.Snapshot.Limits.RetryBudget)
	deadline, cancel := context.WithDeadline(context.Background(), req.Deadline)
	a.ctx, a.cancel = context.WithCancelCause(deadline)
	a.done = cancel
	a.watchdog = newWatchdog(a)
	return a, nil
}

func (r *Runner) depositRetryBudget(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(share)
}

// mayRetry reports whether the limits of attempts and of crashes, the time left before
// the deadline and the retry budget allow another attempt.
func (r *Runner) mayRetry(attempts, crashes int, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Retry.Allows(attempts, crashes, left) && r.budget.Available()
}

// takeRetry charges a retry to the budget if another attempt is allowed.
func (r *Runner) takeRetry(attempts, crashes int, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cfg.Retry.Allows(attempts, crashes, left) || !r.budget.Available() {
		return false
	}
	r.budget.Withdraw()
	return true
}

// drawDelay returns a random back-off before the next attempt. If paid is set,
// the attempt is charged to the retry budget.
func (r *Runner) drawDelay(attempts int, left time.Duration, paid bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paid {
		r.budget.Withdraw()
	}
	return r.cfg.Retry.Delay(attempts, left, r.rng)
}
