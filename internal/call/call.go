// Package call executes calls to plain services. A non-idempotent call is
// recorded in the platform's table before it is sent. The call's state machine
// is in core/calls.
package call

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// maxInlineBytes is the maximum length of a result body that is stored in
	// the row itself, in bytes. Longer ones go to the object store.
	maxInlineBytes = 64 << 10
	// maxBackground is the maximum number of calls whose outcome is recorded in
	// the background, after the reply to the caller.
	maxBackground = 1024
)

// Request describes one call.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Operation    string
	Key          string
	Body         []byte
	Deadline     time.Time
	Snapshot     *confsync.Snapshot

	// digest identifies what the caller asks for; see identified.
	digest string
}

// Store is the part of the platform client that calls use.
type Store interface {
	Try(platform.Class, wire.Txn, time.Duration) (wire.TxnResult, platform.Outcome, error)
	Get(key string) (wire.Row, error)
	Scan(wire.Scan) (wire.ScanResult, error)
	PutObject(key string, data []byte) error
	GetObject(key string) ([]byte, error)
	DeleteObject(key string) error
}

// Service sends calls to endpoints.
type Service interface {
	Do(endpoint.Call) (endpoint.Answer, error)
}

// Liveness reports which processes have ended.
type Liveness interface {
	// HasEnded reports whether the VM's incarnation is known to have ended. It
	// returns false if nothing is known about it.
	HasEnded(vm string, incarnation int64) bool
}

// Health reports which endpoints are leaving the fleet.
type Health interface {
	// Leaving reports whether the endpoint must not get new calls.
	Leaving(endpoint string) bool
}

// Runner executes calls. It is safe for concurrent use.
type Runner struct {
	cfg         calls.Config
	store       Store
	service     Service
	log         *event.Logger
	vm          string
	incarnation int64
	liveness    Liveness
	health      Health
	limits      endpoint.Limits
	guard       crashguard.Watch
	// beforeAction is called before each action. Tests use it to end a call there,
	// as if the process had been killed.
	beforeAction func(calls.Action)

	background atomic.Int64
	running    sync.WaitGroup
	mu         sync.Mutex
	budget     *calls.Budget
}

// NewRunner returns a Runner for this process.
func NewRunner(store *platform.Client, caller *endpoint.Caller, log *event.Logger, self peer.Identity) *Runner {
	return newRunner(calls.DefaultConfig(), store, caller, log, self.VM, self.Incarnation)
}

func newRunner(cfg calls.Config, store Store, service Service, log *event.Logger, vm string, incarnation int64) *Runner {
	return &Runner{
		cfg:          cfg,
		store:        store,
		service:      service,
		log:          log,
		vm:           vm,
		incarnation:  incarnation,
		beforeAction: func(calls.Action) {},
		budget:       calls.NewBudget(),
		limits:       endpoint.NoLimits{},
		guard:        crashguard.None{},
	}
}

// SetLiveness sets the source of information about ended processes. It must be
// called before the first call.
func (r *Runner) SetLiveness(l Liveness) { r.liveness = l }

// SetHealth sets the source of information about leaving endpoints. It must be
// called before the first call.
func (r *Runner) SetHealth(h Health) { r.health = h }

// SetLimits sets the limits on requests that endpoints name. It must be called before the
// first call.
func (r *Runner) SetLimits(l endpoint.Limits) { r.limits = l }

// SetGuard sets what withholds calls that crash endpoints. It must be called before the first
// call.
func (r *Runner) SetGuard(g crashguard.Watch) { r.guard = g }

// processEnded reports whether a process is known to have ended. Every other
// incarnation of this VM has ended.
func (r *Runner) processEnded(vm string, incarnation int64) bool {
	if vm == r.vm && incarnation != r.incarnation {
		return true
	}
	return r.liveness != nil && r.liveness.HasEnded(vm, incarnation)
}

// Wait waits until the outcome of every call has been recorded or recording it
// has been given up.
func (r *Runner) Wait() { r.running.Wait() }

// Drain is like Wait, but returns ctx's error if ctx ends first. Outcomes that
// are unrecorded then are reported as unknown to callers that repeat their keys.
func (r *Runner) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// config returns the Runner's configuration with the retention time of the
// configuration document, if it sets one.
func (r *Runner) config(snap *confsync.Snapshot) calls.Config {
	cfg := r.cfg
	if hours := snap.Limits.CallRetentionHours; hours > 0 {
		cfg.Retention = time.Duration(hours) * time.Hour
	}
	return cfg
}

// State is the recorded state of a call.
type State struct {
	// Status is started, done, not_run or unknown.
	Status calls.Status
	// Ran says whether the call ran: yes, no or unknown.
	Ran errcode.Ran
	// Answer is the service's response if Status is done.
	Answer endpoint.Answer
}

// State reads the recorded state of the call with the idempotency key. It
// returns an errcode.Error with the code UnknownCall if there is none, and with
// StoreUnavailable if the store cannot be read.
func (r *Runner) State(organisation, service, key string) (State, error) {
	row, err := r.store.Get(calls.RowKey(organisation, service, key))
	if err != nil {
		return State{}, errcode.New(errcode.StoreUnavailable, "the record can't be read").
			WithRan(errcode.RanUnknown).WithRetryAfter(r.cfg.StoreRetry)
	}
	if row.Version == wire.AbsentVersion {
		return State{}, errcode.New(errcode.UnknownCall, "no call is recorded under the key")
	}
	recorded, err := calls.Decode(row)
	if err != nil {
		return State{}, err
	}
	return r.state(recorded)
}

func (r *Runner) state(row calls.Row) (State, error) {
	reply := calls.Report(row, time.Now(), r.cfg, r.processEnded(row.VM, row.Incarnation))
	if reply.Err == nil {
		answer, err := r.loadAnswer(*reply.Result)
		return State{Status: calls.StatusDone, Ran: errcode.RanYes, Answer: answer}, err
	}
	status := row.Status
	if reply.Err.Code == errcode.CallOutcomeUnknown {
		status = calls.StatusUnknown
	}
	return State{Status: status, Ran: reply.Err.Ran}, nil
}
