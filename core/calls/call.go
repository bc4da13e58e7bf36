package calls

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("call")

// Chart states that the code compares with.
const (
	stateClaiming  statechart.State = "claiming"
	stateWaiting   statechart.State = "waiting"
	stateRecording statechart.State = "recording"
)

// Request describes the call to make.
type Request struct {
	// Key is the key of the call's row, see RowKey.
	Key string
	// Digest identifies the request, see RequestDigest.
	Digest string
	// Attempt is the unique ID of this attempt.
	Attempt string
	// VM and Incarnation identify this process.
	VM          string
	Incarnation int64
	// Deadline is the caller's deadline.
	Deadline time.Time
	// ProcessEnded reports whether a process is known to have ended. It may be nil; then
	// no process is taken to have ended.
	ProcessEnded func(vm string, incarnation int64) bool
}

// Call is one attempt at a non-idempotent call. It is not safe for concurrent
// use. The driver answers each Write, Send or Wait with one event; a Call has at
// most one of them outstanding.
type Call struct {
	cfg     Config
	request Request
	rng     *rand.Rand
	machine *statechart.Machine
	now     time.Time

	// row is the value that the attempt writes next.
	row Row
	// claimVersion is the row version that the claim is conditioned on, version
	// the one that the next write is conditioned on.
	claimVersion int64
	version      int64
	// claimUncertain is set once the outcome of a write is unknown. In the state
	// claiming it means that the claim may be in the table.
	claimUncertain bool
	// claimTries, recordTries and sends count the writes and sends started so
	// far.
	claimTries  int
	recordTries int
	sends       int
	// found is the row returned by the last failed condition, foundErr the error
	// of decoding it and foundVersion its version.
	found        Row
	foundErr     error
	foundVersion int64
}

// New returns a Call in its initial state. Its first event is Started.
func New(cfg Config, r Request, rng *rand.Rand) (*Call, error) {
	c := &Call{cfg: cfg, request: r, rng: rng, claimVersion: wire.AbsentVersion, version: wire.AbsentVersion}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"in_time":        c.inTime,
		"free":           c.mayTakeOver,
		"may_retry":      c.mayRetry,
		"maybe_written":  func() bool { return c.claimUncertain },
		"may_send_again": c.maySendAgain,
		"may_record":     func() bool { return c.recordTries < c.cfg.MaxRecordTries },
		"as_recorded":    func() bool { return c.foundErr == nil && c.foundOwnRow() && c.found.Status == c.row.Status },
		"mine":           func() bool { return c.foundErr == nil && c.foundOwnRow() && c.recordTries < c.cfg.MaxRecordTries },
	})
	if err != nil {
		return nil, err
	}
	c.machine = m
	return c, nil
}

// Done reports whether the call has reached a final state.
func (c *Call) Done() bool { return c.machine.Done() }

// State returns the current chart state.
func (c *Call) State() statechart.State { return c.machine.State() }

// Handle processes an event at the time now and returns the actions to perform,
// in order.
func (c *Call) Handle(now time.Time, ev Event) ([]Action, error) {
	c.now = now
	names, err := c.machine.Fire(c.onEvent(ev))
	if err != nil {
		return nil, err
	}
	actions := make([]Action, 0, len(names))
	for _, name := range names {
		if a := c.act(name); a != nil {
			actions = append(actions, a)
		}
	}
	return actions, nil
}

// onEvent stores the event's data and returns the matching chart event.
func (c *Call) onEvent(ev Event) statechart.Event {
	switch ev := ev.(type) {
	case Written:
		return c.onWritten(ev)
	case Sent:
		return c.onSent(ev)
	case TimerFired:
		return "timer"
	}
	return "start"
}

func (c *Call) onWritten(ev Written) statechart.Event {
	switch ev.Outcome {
	case WriteApplied:
		c.version = ev.Result.Version
		return "row_applied"
	case WriteRefused:
		return "row_refused"
	case WriteFailed:
		return c.onConflict(ev.Result.Failed)
	}
	c.claimUncertain = true
	return "row_unknown"
}

// onConflict handles a write whose condition failed. If a claim finds its own
// attempt in the row, an earlier try was applied and its response was lost.
func (c *Call) onConflict(failed []wire.Row) statechart.Event {
	if len(failed) == 0 {
		return "row_refused"
	}
	c.foundVersion = failed[0].Version
	c.found = Row{}
	c.foundErr = nil
	if failed[0].Version != wire.AbsentVersion {
		c.found, c.foundErr = Decode(failed[0])
	}
	if c.foundErr == nil && c.foundOwnRow() {
		c.version = c.foundVersion
		if c.machine.State() == stateClaiming {
			return "row_applied"
		}
	}
	return "row_taken"
}

func (c *Call) onSent(ev Sent) statechart.Event {
	switch ev.Outcome {
	case SendAnswered:
		c.row.Status = StatusDone
		c.row.Result = ev.Result
		return "answered"
	case SendNotRun:
		c.row.Status = StatusNotRun
		return "not_run"
	}
	c.row.Status = StatusUnknown
	return "lost"
}

func (c *Call) foundOwnRow() bool { return c.found.Attempt == c.request.Attempt }

func (c *Call) inTime() bool { return c.now.Before(c.request.Deadline) }

// mayTakeOver reports whether this attempt may take over the row found: the row
// is for the same request, which did not run, and there are tries and time left.
// An absent row has been removed since its version was read and may be claimed.
func (c *Call) mayTakeOver() bool {
	if c.foundErr != nil || !c.inTime() || c.claimTries >= c.cfg.MaxClaimTries {
		return false
	}
	if c.foundVersion == wire.AbsentVersion {
		return true
	}
	return c.found.Status == StatusNotRun && c.found.BodyDigest == c.request.Digest
}

func (c *Call) mayRetry() bool { return c.claimTries < c.cfg.MaxClaimTries && c.inTime() }

func (c *Call) maySendAgain() bool { return c.sends < c.cfg.MaxSends && c.inTime() }
