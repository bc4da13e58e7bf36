package lease

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("lease")

// NotCandidate is the rank of a VM that does not compete for the lease.
const NotCandidate = -1

// Lease is the state of one lease on one VM. It is not safe for concurrent use.
// The driver answers each Read or Write with one event before it sends others.
type Lease struct {
	cfg         Config
	key         string
	vm          string
	incarnation int64
	machine     *statechart.Machine
	now         Instant

	// rank is this VM's rank among the candidates, from 0, or NotCandidate.
	rank int
	// row is the last row seen, version its version and firstSeen when that
	// version was first seen. hasRow is set once a row has been read.
	row       Row
	version   int64
	firstSeen Instant
	hasRow    bool
	// nextRead and nextWrite are the times of the next read and renewal on the
	// monotonic clock.
	nextRead  time.Duration
	nextWrite time.Duration
	// fencing is this VM's current or last fencing number. confirmedAt is when
	// the write that last confirmed the lease was sent.
	fencing     int64
	holds       bool
	confirmedAt Instant
	// writtenRow is the row of the last write, sentAt when it was sent.
	writtenRow   Row
	sentAt       Instant
	fencingFloor int64
	releaseTries int
}

// New returns a Lease that is not held by this VM.
func New(cfg Config, name, vm string, incarnation int64) (*Lease, error) {
	l := &Lease{cfg: cfg, key: KeyPrefix + name, vm: vm, incarnation: incarnation}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"fresh":         func() bool { return l.cfg.stillValid(l.sentAt, l.now) },
		"read_due":      func() bool { return l.rank != NotCandidate && l.now.Mono >= l.nextRead },
		"may_take":      l.mayTake,
		"ended":         func() bool { return !l.Valid(l.now) },
		"renew_due":     func() bool { return l.now.Mono >= l.nextWrite },
		"still_mine":    l.ownsRowAtFencing,
		"release_again": func() bool { return l.releaseTries < l.cfg.MaxReleaseTries },
	})
	if err != nil {
		return nil, err
	}
	l.machine = m
	return l, nil
}

// SetRank sets this VM's rank among the candidates, from 0, or NotCandidate.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Fencing returns the fencing number with which this VM holds or last held the
// lease.
func (l *Lease) Fencing() int64 { return l.fencing }

// Valid reports whether this VM may act under the lease at now.
func (l *Lease) Valid(now Instant) bool {
	return l.holds && l.cfg.stillValid(l.confirmedAt, now)
}

// State returns the current chart state.
func (l *Lease) State() statechart.State { return l.machine.State() }

// Handle processes an event at the time now and returns the actions to perform,
// in order.
func (l *Lease) Handle(now Instant, ev Event) ([]Action, error) {
	l.now = now
	names, err := l.machine.Fire(l.onEvent(ev))
	if err != nil {
		return nil, err
	}
	actions := make([]Action, 0, len(names))
	for _, name := range names {
		if a := l.act(name); a != nil {
			actions = append(actions, a)
		}
	}
	return actions, nil
}

// onEvent stores the event's data and returns the matching chart event.
func (l *Lease) onEvent(ev Event) statechart.Event {
	switch ev := ev.(type) {
	case RowRead:
		if !l.observe(ev.Row) {
			return "unread"
		}
		l.scheduleRead()
		return "seen"
	case ReadFailed:
		return "unread"
	case Written:
		return l.onWritten(ev)
	case ReleaseNow:
		l.releaseTries = 0
		return "release"
	case RaiseAbove:
		l.fencingFloor = max(l.fencingFloor, ev.Fencing)
		return "raise"
	}
	return "tick"
}

// observe stores the current row of the table. It returns false if the row cannot
// be decoded.
func (l *Lease) observe(row wire.Row) bool {
	r, err := decode(row)
	if err != nil {
		return false
	}
	if !l.hasRow || row.Version != l.version {
		l.firstSeen = l.now
	}
	l.hasRow = true
	l.row = r
	l.version = row.Version
	return true
}

func (l *Lease) onWritten(ev Written) statechart.Event {
	switch ev.Outcome {
	case WriteApplied:
		l.row = l.writtenRow
		l.version = ev.Result.Version
		l.firstSeen = l.now
		return "applied"
	case WriteFailed:
		l.nextRead = l.now.Mono
		if len(ev.Result.Failed) == 0 || !l.observe(ev.Result.Failed[0]) {
			return "refused"
		}
		return "taken"
	case WriteRefused:
		l.nextWrite = l.now.Mono + l.cfg.RetryEvery
		return "refused"
	}
	l.nextWrite = l.now.Mono + l.cfg.RetryEvery
	l.nextRead = l.now.Mono + l.cfg.RetryEvery
	return "unknown"
}

// ownsRow reports whether the last row seen names this process as the holder.
func (l *Lease) ownsRow() bool { return l.row.Holder == l.vm && l.row.Incarnation == l.incarnation }

// ownsRowAtFencing reports whether the last row seen was written by this process
// with its current fencing number. After a failed condition it means that an
// earlier renewal was applied and its response was lost.
func (l *Lease) ownsRowAtFencing() bool { return l.ownsRow() && l.row.Fencing == l.fencing }

// mayTake reports whether this VM may take the lease: the last row seen is
// released, belongs to this process, or has not changed for its TTL. Lower-ranked
// candidates wait RankStep longer for each rank.
func (l *Lease) mayTake() bool {
	if l.rank == NotCandidate {
		return false
	}
	return l.now.Mono >= l.takeableAt()
}

// takeableAt returns when the last row seen can be taken, on the monotonic clock.
func (l *Lease) takeableAt() time.Duration {
	if l.ownsRow() {
		return l.firstSeen.Mono
	}
	wait := time.Duration(l.rank) * l.cfg.RankStep
	if l.row.Holder != "" {
		wait += l.cfg.challengerWait(l.row.ttl())
	}
	return l.firstSeen.Mono + wait
}

// scheduleRead brings the next read forward to when the row can be taken.
func (l *Lease) scheduleRead() {
	if at := l.takeableAt(); l.rank != NotCandidate && at > l.now.Mono {
		l.nextRead = min(l.nextRead, at)
	}
}
