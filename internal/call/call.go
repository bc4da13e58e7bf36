// Package call carries out calls to plain services. Those that may not be
// repeated are recorded in the platform's table before anything is sent; the
// decisions are made by core/calls.
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
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// maxInlineBytes is the largest result that is kept in the row itself.
	maxInlineBytes = 64 << 10
	// maxBackground bounds the calls whose outcome is recorded behind their
	// callers' backs.
	maxBackground = 1024
)

// Request is one call.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Operation    string
	Key          string
	Body         []byte
	Deadline     time.Time
	Snapshot     *confsync.Snapshot
}

// Store is what calls need of the platform.
type Store interface {
	Try(platform.Class, wire.Txn, time.Duration) (wire.TxnResult, platform.Outcome, error)
	Get(key string) (wire.Row, error)
	Scan(wire.Scan) (wire.ScanResult, error)
	PutObject(key string, data []byte) error
	GetObject(key string) ([]byte, error)
	DeleteObject(key string) error
}

// Service makes one call at an endpoint.
type Service interface {
	Do(endpoint.Call) (endpoint.Answer, error)
}

// Liveness knows which processes have ended.
type Liveness interface {
	// Gone reports whether the VM's incarnation is known to have ended; false
	// where nothing is known.
	Gone(vm string, incarnation int64) bool
}

// Health knows which endpoints leave the fleet.
type Health interface {
	// Leaving reports whether the endpoint gets no new work.
	Leaving(endpoint string) bool
}

// Runner makes calls. It is safe for concurrent use.
type Runner struct {
	cfg         calls.Config
	store       Store
	service     Service
	log         *event.Logger
	vm          string
	incarnation int64
	liveness    Liveness
	health      Health
	// step is called before each action; tests stop the process there.
	step func(calls.Action)

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
		cfg:         cfg,
		store:       store,
		service:     service,
		log:         log,
		vm:          vm,
		incarnation: incarnation,
		step:        func(calls.Action) {},
		budget:      calls.NewBudget(),
	}
}

// SetLiveness tells the Runner whom to ask which processes have ended. It is
// called before the first call.
func (r *Runner) SetLiveness(l Liveness) { r.liveness = l }

// SetHealth tells the Runner whom to ask which endpoints leave. It is called
// before the first call.
func (r *Runner) SetHealth(h Health) { r.health = h }

// gone reports whether a process is known to have ended: an earlier one of this
// VM has.
func (r *Runner) gone(vm string, incarnation int64) bool {
	if vm == r.vm && incarnation != r.incarnation {
		return true
	}
	return r.liveness != nil && r.liveness.Gone(vm, incarnation)
}

// Wait waits until the outcomes of all calls are recorded or given up.
func (r *Runner) Wait() { r.running.Wait() }

// Drain is Wait with a limit. It returns ctx's error where outcomes are left
// unrecorded, so that repeats of their keys are told that they are unknown.
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

// config is the Runner's configuration with the retention of the document.
func (r *Runner) config(snap *confsync.Snapshot) calls.Config {
	cfg := r.cfg
	if hours := snap.Limits.CallRetentionHours; hours > 0 {
		cfg.Retention = time.Duration(hours) * time.Hour
	}
	return cfg
}

// State is what is recorded of a call.
type State struct {
	// Status is started, done, not_run or unknown.
	Status calls.Status
	// Ran says whether the call ran.
	Ran errcode.Ran
	// Answer is the service's, when done.
	Answer endpoint.Answer
}

// State reads what is recorded under the key.
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
	reply := calls.Report(row, time.Now(), r.cfg, r.gone(row.VM, row.Incarnation))
	if reply.Err == nil {
		answer, err := r.answer(*reply.Result)
		return State{Status: calls.StatusDone, Ran: errcode.RanYes, Answer: answer}, err
	}
	status := row.Status
	if reply.Err.Code == errcode.CallOutcomeUnknown {
		status = calls.StatusUnknown
	}
	return State{Status: status, Ran: reply.Err.Ran}, nil
}
