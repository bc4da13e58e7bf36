package calls

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("call")

// States of the chart that the code asks for.
const (
	stateClaiming  statechart.State = "claiming"
	stateWaiting   statechart.State = "waiting"
	stateRecording statechart.State = "recording"
)

// Request is what a Call starts from.
type Request struct {
	// Key is the key of the row, see RowKey.
	Key string
	// Digest is the request's, see RequestDigest.
	Digest string
	// Attempt is unique.
	Attempt string
	// VM and Incarnation name this process.
	VM          string
	Incarnation int64
	// Deadline is the caller's.
	Deadline time.Time
	// Gone reports whether a process is known to have ended; nil where nothing
	// is known.
	Gone func(vm string, incarnation int64) bool
}

// Call is one attempt at a call that may not be repeated. It is not safe for
// concurrent use. Each Write, Send or Wait that it returns is answered by one
// event before the next is asked for.
type Call struct {
	cfg     Config
	request Request
	rng     *rand.Rand
	machine *statechart.Machine
	now     time.Time

	// row is what the attempt writes next.
	row Row
	// base is the version that the claim, and version the one that the result
	// is conditioned on.
	base    int64
	version int64
	// maybe is set while a claim of unknown outcome may be in the table.
	maybe bool
	// claims, records and sends count what was tried.
	claims  int
	records int
	sends   int
	// found is the row that another write found in the table.
	found    Row
	foundErr error
	foundAt  int64
}

// New returns a Call that waits for Started.
func New(cfg Config, r Request, rng *rand.Rand) (*Call, error) {
	c := &Call{cfg: cfg, request: r, rng: rng, base: wire.AbsentVersion, version: wire.AbsentVersion}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"in_time":        c.inTime,
		"free":           c.free,
		"may_retry":      c.mayRetry,
		"maybe_written":  func() bool { return c.maybe },
		"may_send_again": c.maySendAgain,
		"may_record":     func() bool { return c.records < c.cfg.RecordTries },
		"as_recorded":    func() bool { return c.foundErr == nil && c.foundMine() && c.found.Status == c.row.Status },
		"mine":           func() bool { return c.foundErr == nil && c.foundMine() && c.records < c.cfg.RecordTries },
	})
	if err != nil {
		return nil, err
	}
	c.machine = m
	return c, nil
}

// Done reports whether nothing is left to do.
func (c *Call) Done() bool { return c.machine.Done() }

// State is the state of the chart.
func (c *Call) State() statechart.State { return c.machine.State() }

// Handle takes an event and returns the actions to carry out, in order.
func (c *Call) Handle(now time.Time, ev Event) ([]Action, error) {
	c.now = now
	names, err := c.machine.Fire(c.note(ev))
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

// note remembers what the event says and names it for the chart.
func (c *Call) note(ev Event) statechart.Event {
	switch ev := ev.(type) {
	case Written:
		return c.noteWritten(ev)
	case Sent:
		return c.noteSent(ev)
	case Woken:
		return "timer"
	}
	return "start"
}

func (c *Call) noteWritten(ev Written) statechart.Event {
	switch ev.Outcome {
	case WriteApplied:
		c.version = ev.Result.Version
		return "row_applied"
	case WriteRefused:
		return "row_refused"
	case WriteFailed:
		return c.noteFailed(ev.Result.Failed)
	}
	c.maybe = true
	return "row_unknown"
}

// noteFailed handles a failed condition. A claim that finds its own attempt in
// the row was applied by an earlier try whose answer was lost.
func (c *Call) noteFailed(failed []wire.Row) statechart.Event {
	if len(failed) == 0 {
		return "row_refused"
	}
	c.foundAt = failed[0].Version
	c.found = Row{}
	c.foundErr = nil
	if failed[0].Version != wire.AbsentVersion {
		c.found, c.foundErr = Decode(failed[0])
	}
	if c.foundErr == nil && c.foundMine() {
		c.version = c.foundAt
		if c.machine.State() == stateClaiming {
			return "row_applied"
		}
	}
	return "row_taken"
}

func (c *Call) noteSent(ev Sent) statechart.Event {
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

func (c *Call) foundMine() bool { return c.found.Attempt == c.request.Attempt }

func (c *Call) inTime() bool { return c.now.Before(c.request.Deadline) }

// free reports whether the row that was found may be taken over: nothing ran
// under it, for the same request. An absent row is one that was removed since.
func (c *Call) free() bool {
	if c.foundErr != nil || !c.inTime() || c.claims >= c.cfg.ClaimTries {
		return false
	}
	if c.foundAt == wire.AbsentVersion {
		return true
	}
	return c.found.Status == StatusNotRun && c.found.BodyDigest == c.request.Digest
}

func (c *Call) mayRetry() bool { return c.claims < c.cfg.ClaimTries && c.inTime() }

func (c *Call) maySendAgain() bool { return c.sends < c.cfg.MaxSends && c.inTime() }
