package lease

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("lease")

// NotCandidate is the rank of a VM that does not ask for the lease.
const NotCandidate = -1

// Lease is one lease as one VM sees it. It is not safe for concurrent use. Each
// Read or Write that it returns is answered by one event before the next.
type Lease struct {
	cfg         Config
	key         string
	vm          string
	incarnation int64
	machine     *statechart.Machine
	now         Instant

	// rank is this VM's place among the candidates, from 0.
	rank int
	// row is the last one seen, its version, and when that version was first
	// seen.
	row     Row
	version int64
	first   Instant
	known   bool
	// nextRead and nextWrite are when to read and to write again.
	nextRead  time.Duration
	nextWrite time.Duration
	// fencing is this VM's number; sent is when the write that last confirmed
	// the lease was sent, and confirmed the reading of both clocks then.
	fencing   int64
	holds     bool
	confirmed Instant
	// written is the row of the write in flight, and sentAt when it was sent.
	written Row
	sentAt  Instant
	floor   int64
	tries   int
}

// New returns a Lease that the VM does not hold.
func New(cfg Config, name, vm string, incarnation int64) (*Lease, error) {
	l := &Lease{cfg: cfg, key: KeyPrefix + name, vm: vm, incarnation: incarnation}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"fresh":         func() bool { return l.cfg.lasts(l.sentAt, l.now) },
		"read_due":      func() bool { return l.rank != NotCandidate && l.now.Mono >= l.nextRead },
		"may_take":      l.mayTake,
		"ended":         func() bool { return !l.Valid(l.now) },
		"renew_due":     func() bool { return l.now.Mono >= l.nextWrite },
		"still_mine":    l.stillMine,
		"release_again": func() bool { return l.tries < l.cfg.ReleaseTries },
	})
	if err != nil {
		return nil, err
	}
	l.machine = m
	return l, nil
}

// SetRank tells the lease this VM's place among the candidates, from 0, or
// NotCandidate.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Fencing is the number under which this VM holds, or last held, the lease.
func (l *Lease) Fencing() int64 { return l.fencing }

// Valid reports whether this VM may act under the lease at that instant.
func (l *Lease) Valid(now Instant) bool {
	return l.holds && l.cfg.lasts(l.confirmed, now)
}

// State is the state of the chart.
func (l *Lease) State() statechart.State { return l.machine.State() }

// Handle takes an event and returns the actions to carry out, in order.
func (l *Lease) Handle(now Instant, ev Event) ([]Action, error) {
	l.now = now
	names, err := l.machine.Fire(l.note(ev))
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

// note remembers what the event says and names it for the chart.
func (l *Lease) note(ev Event) statechart.Event {
	switch ev := ev.(type) {
	case Seen:
		if !l.see(ev.Row) {
			return "unread"
		}
		l.planRead()
		return "seen"
	case Unread:
		return "unread"
	case Written:
		return l.noteWritten(ev)
	case ReleaseNow:
		l.tries = 0
		return "release"
	case RaiseTo:
		l.floor = max(l.floor, ev.Fencing)
		return "raise"
	}
	return "tick"
}

// see notes the row as it is in the table.
func (l *Lease) see(row wire.Row) bool {
	r, err := decode(row)
	if err != nil {
		return false
	}
	if !l.known || row.Version != l.version {
		l.first = l.now
	}
	l.known = true
	l.row = r
	l.version = row.Version
	return true
}

func (l *Lease) noteWritten(ev Written) statechart.Event {
	switch ev.Outcome {
	case WriteApplied:
		l.row = l.written
		l.version = ev.Result.Version
		l.first = l.now
		return "applied"
	case WriteFailed:
		l.nextRead = l.now.Mono
		if len(ev.Result.Failed) == 0 || !l.see(ev.Result.Failed[0]) {
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

// mine reports whether the row seen was written by this process.
func (l *Lease) mine() bool { return l.row.Holder == l.vm && l.row.Incarnation == l.incarnation }

// stillMine reports whether a renewal failed because an earlier one, whose
// answer was lost, had been applied.
func (l *Lease) stillMine() bool { return l.mine() && l.row.Fencing == l.fencing }

// mayTake reports whether the row that was seen can be taken: it is free, or
// this process's own, or it has not changed for its whole time.
func (l *Lease) mayTake() bool {
	if l.rank == NotCandidate {
		return false
	}
	return l.now.Mono >= l.takeAt()
}

// takeAt is when the row that was seen can be taken, by the monotonic clock.
func (l *Lease) takeAt() time.Duration {
	if l.mine() {
		return l.first.Mono
	}
	wait := time.Duration(l.rank) * l.cfg.RankStep
	if l.row.Holder != "" {
		wait += l.cfg.challengerTime(l.row.ttl())
	}
	return l.first.Mono + wait
}

// planRead reads the row again as soon as it can be taken.
func (l *Lease) planRead() {
	if at := l.takeAt(); l.rank != NotCandidate && at > l.now.Mono {
		l.nextRead = min(l.nextRead, at)
	}
}
