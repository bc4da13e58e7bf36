package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// seeds is the number of simulations of each test.
const seeds = 3000

// holder is the interface of a lease in the simulation. Lease is the
// implementation under test, neverExpires and countsFromResponse are the
// baselines.
type holder interface {
	Handle(Instant, Event) ([]Action, error)
	Valid(Instant) bool
	Fencing() int64
}

// neverExpires is a baseline that holds the lease until a response of the table
// shows that it was lost.
type neverExpires struct{ *Lease }

func (t neverExpires) Valid(Instant) bool { return t.holds }

// countsFromResponse is a baseline that counts the TTL from the response to the
// write instead of from when it was sent, and allows for neither clock drift nor
// pauses.
type countsFromResponse struct {
	*Lease
	respondedAt *Instant
}

func (t countsFromResponse) Handle(now Instant, ev Event) ([]Action, error) {
	if w, ok := ev.(Written); ok && w.Outcome == WriteApplied {
		*t.respondedAt = now
	}
	return t.Lease.Handle(now, ev)
}

func (t countsFromResponse) Valid(now Instant) bool {
	return t.holds && now.Mono-t.respondedAt.Mono < t.cfg.TTL
}

// vm is an entry VM with its own clocks.
type vm struct {
	lease        holder
	clockRate    float64
	mono         time.Duration
	wall         time.Time
	pausedUntil  time.Duration // paused until then; its clocks keep running
	suspended    bool          // without bootClock the monotonic clock stops
	wasSuspended bool
	wallClockSet bool // the wall clock has been set
	pending      Action
	readyAt      time.Duration
	response     Event
	terminated   bool
	newFencings  []int64
}

// simulation runs several VMs that compete for one lease, and its row. The time
// now is that of the table.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	version     int64
	row         wire.Row
	delayed     []wire.Txn
	unavailable bool
	vms         []*vm
	// bootClock says that the monotonic clock keeps running while a VM is
	// suspended. Without it, no VM is both suspended and has its wall clock set,
	// because the two can cancel out.
	bootClock bool
	// noFaults disables faults of reads and writes.
	noFaults bool
	// requests counts reads and writes.
	requests [2]int
}

// Indexes of simulation.requests.
const (
	reads = iota
	writes
)

func requestKind(a Action) int {
	if _, ok := a.(Read); ok {
		return reads
	}
	return writes
}

func newSimulation(t *testing.T, seed uint64, build func(*Lease) holder) *simulation {
	s := &simulation{bootClock: seed%2 == 0, rng: rand.New(rand.NewPCG(seed, 9)), row: wire.Row{Key: KeyPrefix + "set"}}
	for i := range 3 {
		l, err := New(DefaultConfig(), "set", fmt.Sprint("vm-", i), int64(i+1))
		if err != nil {
			t.Fatalf("%v", err)
		}
		l.SetRank(i)
		clockRate := 1 + float64(s.intBetween(-4, 4))/1000
		s.vms = append(s.vms, &vm{lease: build(l), clockRate: clockRate, wall: time.Unix(1_800_000_000, 0)})
	}
	return s
}

// intBetween returns a random number from the range, ends included.
func (s *simulation) intBetween(from, to int) int { return from + s.rng.IntN(to-from+1) }

func (v *vm) instant() Instant { return Instant{v.mono, v.wall} }

// advance advances all clocks; d is the time on the table's clock.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, v := range s.vms {
		local := time.Duration(float64(d) * v.clockRate)
		v.wall = v.wall.Add(local)
		if !v.suspended || s.bootClock {
			v.mono += local
		}
	}
}

func (s *simulation) apply(txn wire.Txn) wire.TxnResult {
	if txn.Conditions[0].Version != s.row.Version {
		return wire.TxnResult{Failed: []wire.Row{s.row}}
	}
	s.version++
	s.row = wire.Row{Key: s.row.Key, Version: s.version, Value: txn.Puts[0].Value}
	return wire.TxnResult{Applied: true, Version: s.version}
}

// step performs the VM's next step, unless it is terminated, suspended or paused.
func (s *simulation) step(t *testing.T, v *vm) {
	if v.terminated || v.suspended || s.now < v.pausedUntil {
		return
	}
	if v.pending != nil {
		v.response = s.carryOut(v.pending)
		v.pending = nil
		v.readyAt = s.now + time.Duration(s.intBetween(0, 900))*time.Millisecond
		return
	}
	if s.now < v.readyAt {
		return
	}
	ev := v.response
	v.response = nil
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
			v.newFencings = append(v.newFencings, a.Fencing)
		case Read, Write:
			v.pending = a
		}
	}
}

func (s *simulation) carryOut(a Action) Event {
	s.requests[requestKind(a)]++
	fault := s.intBetween(0, 12)
	if s.noFaults {
		fault = 12
	}
	read, ok := a.(Read)
	if ok {
		if s.unavailable || fault == 0 {
			return ReadFailed{}
		}
		return RowRead{wire.Row{Key: read.Key, Version: s.row.Version, Value: s.row.Value}}
	}
	txn := a.(Write).Txn
	switch {
	case s.unavailable || fault == 0:
		return Written{Outcome: WriteRefused}
	case fault == 1:
		return Written{Outcome: WriteUnknown}
	case fault == 2:
		s.delayed = append(s.delayed, txn)
		return Written{Outcome: WriteUnknown}
	case fault == 3:
		s.apply(txn)
		return Written{Outcome: WriteUnknown}
	}
	result := s.apply(txn)
	if result.Applied {
		return Written{Outcome: WriteApplied, Result: result}
	}
	return Written{Outcome: WriteFailed, Result: result}
}

// injectFault injects or ends at most one fault: a pause or suspension of a VM, a
// change of its wall clock, an outage of the table or a delayed write.
func (s *simulation) injectFault() {
	v := s.vms[s.intBetween(0, len(s.vms)-1)]
	switch s.intBetween(0, 60) {
	case 0:
		v.pausedUntil = s.now + time.Duration(s.intBetween(1, 60))*time.Second
	case 1:
		if s.bootClock || !v.wallClockSet {
			v.suspended = !v.suspended
			v.wasSuspended = true
		}
	case 2:
		if v.wasSuspended && !s.bootClock {
			return
		}
		v.wallClockSet = true
		v.wall = v.wall.Add(time.Duration(s.intBetween(-3600, 3600)) * time.Second)
	case 3:
		s.unavailable = !s.unavailable
	case 4, 5, 6:
		if len(s.delayed) > 0 {
			s.apply(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	}
}

// violation returns a description of the property that is violated, or an empty
// string. A paused VM counts as a holder while its lease is valid, a suspended
// one as soon as it resumes.
func (s *simulation) violation(highest *int64) string {
	valid := 0
	for _, v := range s.vms {
		if !v.suspended && v.lease.Valid(v.instant()) {
			valid++
		}
		for _, f := range v.newFencings {
			if f <= *highest {
				return fmt.Sprintf("fencing number %d after %d", f, *highest)
			}
			*highest = f
		}
		v.newFencings = nil
	}
	if valid > 1 {
		return "two holders"
	}
	return ""
}

func runSimulation(t *testing.T, seed uint64, build func(*Lease) holder) (held time.Duration, reason string) {
	s := newSimulation(t, seed, build)
	highest := int64(0)
	for range s.intBetween(50, 400) {
		d := time.Duration(s.intBetween(10, 800)) * time.Millisecond
		s.advance(d)
		s.injectFault()
		for _, v := range s.vms {
			s.step(t, v)
		}
		if reason := s.violation(&highest); reason != "" {
			return held, reason
		}
		for _, v := range s.vms {
			if v.lease.Valid(v.instant()) {
				held += d
			}
		}
	}
	return held, ""
}

// TestOneHolder checks property P9 on the state machine: VMs are paused and
// suspended, their clocks drift and jump, and the table loses, delays and refuses
// writes. The lease is never valid on two VMs at the same time, and the fencing number only
// increases.
func TestOneHolder(t *testing.T) {
	total := time.Duration(0)
	for seed := range uint64(seeds) {
		held, reason := runSimulation(t, seed, func(l *Lease) holder { return l })
		require.Empty(t, reason, "seed %d", seed)
		total += held
	}
	require.Positive(t, total, "no VM ever held the lease")
	t.Log("total time held", total)
}

// TestOracleCatchesNaive checks that the oracle of TestOneHolder detects the
// faults of the baselines.
func TestOracleCatchesNaive(t *testing.T) {
	for name, build := range map[string]func(*Lease) holder{
		"never expires":        func(l *Lease) holder { return neverExpires{l} },
		"counts from response": func(l *Lease) holder { return countsFromResponse{l, &Instant{}} },
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				if _, reason := runSimulation(t, seed, build); reason != "" {
					found++
				}
			}
			require.Positive(t, found)
			t.Log("detected in", found, "runs")
		})
	}
}
