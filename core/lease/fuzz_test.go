package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// seeds is the number of worlds of each test.
const seeds = 3000

// holder is a lease as the world sees it; Lease is the real one, trusting the
// baseline.
type holder interface {
	Handle(Instant, Event) ([]Action, error)
	Valid(Instant) bool
	Fencing() int64
}

// trusting is a naive holder: it holds the lease until the table tells it
// otherwise.
type trusting struct{ *Lease }

func (t trusting) Valid(Instant) bool { return t.holds }

// timed is a second baseline: it counts its time, but from the answer of the
// write rather than from when it was sent, and without drift and pauses.
type timed struct {
	*Lease
	answered *Instant
}

func (t timed) Handle(now Instant, ev Event) ([]Action, error) {
	if w, ok := ev.(Written); ok && w.Outcome == WriteApplied {
		*t.answered = now
	}
	return t.Lease.Handle(now, ev)
}

func (t timed) Valid(now Instant) bool {
	return t.holds && now.Mono-t.answered.Mono < t.cfg.TTL
}

// vm is one entry VM with clocks of its own.
type vm struct {
	lease   holder
	speed   float64
	mono    time.Duration
	wall    time.Time
	stopped time.Duration // frozen until then, clocks going on
	asleep  bool          // suspended: the monotonic clock stands still
	slept   bool
	set     bool // the wall clock was set
	pending Action
	readyAt time.Duration
	answer  Event
	dead    bool
	started []int64
}

// world is several VMs, one lease and its row. Time is the table's.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	version int64
	row     wire.Row
	delayed []wire.Txn
	down    bool
	vms     []*vm
	// bootClock says that the monotonic clock goes on while a VM is suspended.
	// Without it no VM is both suspended and has its wall clock set, as the two
	// can cancel out.
	bootClock bool
	// calm loses no message.
	calm bool
	// requests counts the reads and the writes.
	requests [2]int
}

// Indexes of world.requests.
const (
	reads = iota
	writes
)

func writeOrRead(a Action) int {
	if _, ok := a.(Read); ok {
		return reads
	}
	return writes
}

func newWorld(t *testing.T, seed uint64, build func(*Lease) holder) *world {
	w := &world{bootClock: seed%2 == 0, rng: rand.New(rand.NewPCG(seed, 9)), row: wire.Row{Key: KeyPrefix + "set"}}
	for i := range 3 {
		l, err := New(DefaultConfig(), "set", fmt.Sprint("vm-", i), int64(i+1))
		if err != nil {
			t.Fatalf("%v", err)
		}
		l.SetRank(i)
		speed := 1 + float64(w.between(-4, 4))/1000
		w.vms = append(w.vms, &vm{lease: build(l), speed: speed, wall: time.Unix(1_800_000_000, 0)})
	}
	return w
}

// between draws from the range, ends included.
func (w *world) between(from, to int) int { return from + w.rng.IntN(to-from+1) }

func (v *vm) instant() Instant { return Instant{v.mono, v.wall} }

// advance lets time pass on every clock.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, v := range w.vms {
		own := time.Duration(float64(d) * v.speed)
		v.wall = v.wall.Add(own)
		if !v.asleep || w.bootClock {
			v.mono += own
		}
	}
}

func (w *world) apply(txn wire.Txn) wire.TxnResult {
	if txn.Conditions[0].Version != w.row.Version {
		return wire.TxnResult{Failed: []wire.Row{w.row}}
	}
	w.version++
	w.row = wire.Row{Key: w.row.Key, Version: w.version, Value: txn.Puts[0].Value}
	return wire.TxnResult{Applied: true, Version: w.version}
}

// run lets the VM make one step, if it runs at all.
func (w *world) run(t *testing.T, v *vm) {
	if v.dead || v.asleep || w.now < v.stopped {
		return
	}
	if v.pending != nil {
		v.answer = w.carryOut(v.pending)
		v.pending = nil
		v.readyAt = w.now + time.Duration(w.between(0, 900))*time.Millisecond
		return
	}
	if w.now < v.readyAt {
		return
	}
	ev := v.answer
	v.answer = nil
	if ev == nil {
		ev = Tick{}
	}
	actions, err := v.lease.Handle(v.instant(), ev)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			v.started = append(v.started, a.Fencing)
		case Read, Write:
			v.pending = a
		}
	}
}

func (w *world) carryOut(a Action) Event {
	w.requests[writeOrRead(a)]++
	fate := w.between(0, 12)
	if w.calm {
		fate = 12
	}
	read, ok := a.(Read)
	if ok {
		if w.down || fate == 0 {
			return Unread{}
		}
		return Seen{wire.Row{Key: read.Key, Version: w.row.Version, Value: w.row.Value}}
	}
	txn := a.(Write).Txn
	switch {
	case w.down || fate == 0:
		return Written{Outcome: WriteRefused}
	case fate == 1:
		return Written{Outcome: WriteUnknown}
	case fate == 2:
		w.delayed = append(w.delayed, txn)
		return Written{Outcome: WriteUnknown}
	case fate == 3:
		w.apply(txn)
		return Written{Outcome: WriteUnknown}
	}
	result := w.apply(txn)
	if result.Applied {
		return Written{Outcome: WriteApplied, Result: result}
	}
	return Written{Outcome: WriteFailed, Result: result}
}

// disturb breaks something.
func (w *world) disturb() {
	v := w.vms[w.between(0, len(w.vms)-1)]
	switch w.between(0, 60) {
	case 0:
		v.stopped = w.now + time.Duration(w.between(1, 60))*time.Second
	case 1:
		if w.bootClock || !v.set {
			v.asleep = !v.asleep
			v.slept = true
		}
	case 2:
		if v.slept && !w.bootClock {
			return
		}
		v.set = true
		v.wall = v.wall.Add(time.Duration(w.between(-3600, 3600)) * time.Second)
	case 3:
		w.down = !w.down
	case 4, 5, 6:
		if len(w.delayed) > 0 {
			w.apply(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	}
}

// broken returns what is wrong, or an empty string. A VM that is frozen or
// asleep counts: it acts on what it believes when it wakes.
func (w *world) broken(highest *int64) string {
	valid := 0
	for _, v := range w.vms {
		if !v.asleep && v.lease.Valid(v.instant()) {
			valid++
		}
		for _, f := range v.started {
			if f <= *highest {
				return fmt.Sprintf("fencing number %d after %d", f, *highest)
			}
			*highest = f
		}
		v.started = nil
	}
	if valid > 1 {
		return "two holders"
	}
	return ""
}

func drive(t *testing.T, seed uint64, build func(*Lease) holder) (held time.Duration, reason string) {
	w := newWorld(t, seed, build)
	highest := int64(0)
	for range w.between(50, 400) {
		d := time.Duration(w.between(10, 800)) * time.Millisecond
		w.advance(d)
		w.disturb()
		for _, v := range w.vms {
			w.run(t, v)
		}
		if reason := w.broken(&highest); reason != "" {
			return held, reason
		}
		for _, v := range w.vms {
			if v.lease.Valid(v.instant()) {
				held += d
			}
		}
	}
	return held, ""
}

// TestOneHolder is P9 over the decisions: VMs frozen, suspended, with clocks
// that drift and jump, the table losing, delaying and refusing writes. At no
// time do two VMs believe that they may act, and the fencing number only grows.
func TestOneHolder(t *testing.T) {
	total := time.Duration(0)
	for seed := range uint64(seeds) {
		held, reason := drive(t, seed, func(l *Lease) holder { return l })
		require.Empty(t, reason, "seed %d", seed)
		total += held
	}
	require.Positive(t, total, "nobody ever held the lease")
	t.Log("held for", total)
}

// TestOracleCatchesNaive shows that the oracle of TestOneHolder finds the
// faults of the baselines.
func TestOracleCatchesNaive(t *testing.T) {
	for name, build := range map[string]func(*Lease) holder{
		"holds until told":       func(l *Lease) holder { return trusting{l} },
		"counts from the answer": func(l *Lease) holder { return timed{l, &Instant{}} },
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				if _, reason := drive(t, seed, build); reason != "" {
					found++
				}
			}
			require.Positive(t, found)
			t.Log("caught in", found, "runs")
		})
	}
}
