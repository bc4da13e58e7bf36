// Package prompt carries one prompt from admission to its end, over as many
// attempts as its deadline allows. The request chart decides; this package
// carries out its actions.
//
// An Answer is pulled: the goroutine that writes to the caller reads the
// engine's events itself, so that a token passes from one connection to the
// other without a hand-over between goroutines, and a slow caller holds back
// the engine's stream and nothing else.
package prompt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/breaker"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// Config bounds what a request waits for.
type Config struct {
	Retry   retry.Config
	Breaker breaker.Config
	// StallBase and StallFactor bound the wait for an attempt's first token:
	// the base plus the factor times the predicted wait.
	StallBase   time.Duration
	StallFactor float64
	// StallBetween bounds the wait between two tokens of an attempt.
	StallBetween time.Duration
	// CallerStall bounds how long a caller may take to read what is ready.
	CallerStall time.Duration
	// Watch is the time between two looks at a request's progress.
	Watch time.Duration
	// CancelTimeout bounds an order to an engine to cancel an attempt.
	CancelTimeout time.Duration
}

// DefaultConfig is the Config of a VM.
func DefaultConfig() Config {
	return Config{
		Retry:         retry.Default(),
		Breaker:       breaker.Default(),
		StallBase:     10 * time.Second,
		StallFactor:   4,
		StallBetween:  5 * time.Second,
		CallerStall:   30 * time.Second,
		Watch:         500 * time.Millisecond,
		CancelTimeout: time.Second,
	}
}

// Fleet is what is known of the endpoints.
type Fleet interface {
	// Place chooses an endpoint of the service for the prompt, other than those
	// in except.
	Place(snap *confsync.Snapshot, service string, except map[string]bool, p placement.Prompt) (placement.Choice, placement.View)
	// Views lists the service's endpoints that take work, but for those in
	// except.
	Views(snap *confsync.Snapshot, service string, except map[string]bool) []placement.View
	// SentPrompt notes that the request was sent to the endpoint, FirstToken
	// that its first token came, Ended that its attempt there is over, and
	// Answered the account of its whole answer.
	SentPrompt(id, request string, p placement.Prompt, priority wire.Priority)
	FirstToken(id, request string)
	Ended(id, request string)
	Answered(id string, a fleet.Answer)
	// Done notes that the request is over, with the length of its whole answer
	// or zero.
	Done(request string, tokens int64)
	// Reported takes the load report that came with an answer.
	Reported(id string, e configuration.Endpoint, r wire.LoadReport)
	// Failed notes that the endpoint failed.
	Failed(id string)
}

// Canceller ends attempts at endpoints.
type Canceller interface {
	Cancel(address string, cancel wire.Cancel, timeout time.Duration) error
}

// Holder sets memory aside at endpoints.
type Holder interface {
	// Take takes all shares of the claim or none.
	Take(ctx context.Context, c reserve.Claim) (*reserve.Grant, error)
	// Owner names the VM that holds them.
	Owner() string
}

// Request is one admitted prompt.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Path         string
	Body         []byte
	// Tokens is an upper bound on the prompt's length, MaxTokens the longest
	// answer.
	Tokens    int64
	MaxTokens int64
	// Blocks are the hashes of the prompt's whole blocks.
	Blocks   []uint64
	Class    configuration.LengthClass
	Deadline time.Time
	Snapshot *confsync.Snapshot
	Caller   Caller
}

// Placement is what the request asks of placement before its first attempt.
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

// Caller is the connection that the request came from. Its methods are called
// from any goroutine.
type Caller interface {
	// Gone reports whether the caller closed the connection.
	Gone() bool
	// Abort ends a write to the caller that does not come to an end.
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
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		budget:    retry.NewBudget(cfg.Retry),
		breakers:  newBreakers(cfg.Breaker),
	}
}

// Close waits for the orders to engines that are still under way.
func (r *Runner) Close() { r.cancels.Wait() }

// Start admits the request. The Answer must be closed.
func (r *Runner) Start(req Request) (*Answer, error) {
	a := &Answer{
		Runner:        r,
		req:           req,
		tried:         make(map[string]bool),
		reportedFree:  make(map[string]int64),
		start:         time.Now(),
		tokenInterval: r.metrics.BetweenTokens(req.Organisation, req.Class.Name),
		assembly:      stream.New(req.ID),
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

// mayRetry reports whether the budget and the time allow another attempt.
func (r *Runner) mayRetry(attempts int, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Retry.Allows(attempts, left) && r.budget.Available()
}

// drawDelay draws the wait before the next attempt, which is paid from the budget
// if paid says so.
func (r *Runner) drawDelay(attempts int, left time.Duration, paid bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paid {
		r.budget.Withdraw()
	}
	return r.cfg.Retry.Delay(attempts, left, r.rng)
}
