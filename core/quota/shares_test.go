package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testLimit = 1000.0
	testVMs   = 5
)

// draw returns a number from 0 to n-1.
type draw func(n int, label string) int

// shareLease is the lease under test: Lease or a naive variant.
type shareLease interface {
	Rate(now time.Time) float64
	Prepare(s Share)
	Confirm()
	MarkUnconfirmed()
	Drop()
}

// naiveLease keeps spending its previous share until the new one is granted.
type naiveLease struct{ Lease }

func (l *naiveLease) Prepare(s Share) { l.pending = &s }

// write is a write to the table row in flight.
type write struct {
	version int64
	row     Row
	from    *vm
}

// vm is a simulated VM. Its clock has a constant offset.
type vm struct {
	holder  Holder
	offset  time.Duration
	lease   shareLease
	pending *write
}

// simulation is the simulated system: the table row, the VMs and the writes in
// flight.
type simulation struct {
	cfg      Config
	now      time.Time
	row      Row
	version  int64
	vms      []*vm
	inFlight []*write
	newLease func() shareLease
	starts   int64
}

func newSimulation(newLease func() shareLease) *simulation {
	sim := &simulation{cfg: DefaultConfig(), now: time.UnixMilli(1_000_000_000_000), newLease: newLease}
	for range testVMs {
		sim.vms = append(sim.vms, &vm{})
	}
	return sim
}

// start replaces a VM with a new incarnation; the old one stops immediately.
func (sim *simulation) start(i int, d draw) {
	sim.starts++
	skew := time.Duration(d(int(2*sim.cfg.ClockError/time.Millisecond)+1, "offset")) * time.Millisecond
	sim.vms[i] = &vm{
		holder: Holder{VM: fmt.Sprint(i), Incarnation: sim.starts},
		offset: skew - sim.cfg.ClockError,
		lease:  sim.newLease(),
	}
}

func (v *vm) clock(sim *simulation) time.Time { return sim.now.Add(v.offset) }

// renew reads the row and starts a write, which may be applied at any later time.
func (sim *simulation) renew(v *vm, d draw) {
	if v.lease == nil || v.pending != nil {
		return
	}
	want := testLimit * float64(d(11, "want")) / 10
	next, share := sim.row.Renew(sim.cfg, v.clock(sim), Request{Holder: v.holder, Limit: testLimit, TokensPerSecond: want})
	v.lease.Prepare(share)
	v.pending = &write{version: sim.version, row: next, from: v}
	sim.inFlight = append(sim.inFlight, v.pending)
}

// deliver delivers a write to the table; its response may be lost.
func (sim *simulation) deliver(i int, lost bool) {
	x := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	applied := x.version == sim.version
	if applied {
		sim.row, sim.version = x.row, sim.version+1
	}
	if x.from.pending != x || lost {
		return
	}
	x.from.pending = nil
	if applied {
		x.from.lease.Confirm()
	} else {
		x.from.lease.MarkUnconfirmed()
	}
}

// timeOut makes a VM stop waiting for the response to its write.
func (v *vm) timeOut() {
	if v.pending != nil {
		v.pending = nil
		v.lease.MarkUnconfirmed()
	}
}

// release gives up a share: the VM stops using it before it is removed from the
// row.
func (sim *simulation) release(v *vm) {
	if v.lease == nil || v.pending != nil {
		return
	}
	v.lease.Drop()
	sim.row, sim.version = sim.row.Release(v.holder), sim.version+1
}

// step performs one random action and checks the limit.
func (sim *simulation) step(d draw) error {
	v := sim.vms[d(testVMs, "vm")]
	switch d(8, "action") {
	case 0:
		sim.start(d(testVMs, "restart"), d)
	case 1, 2:
		sim.renew(v, d)
	case 3, 4:
		if len(sim.inFlight) > 0 {
			sim.deliver(d(len(sim.inFlight), "write"), d(4, "lost") == 0)
		}
	case 5:
		v.timeOut()
	case 6:
		sim.now = sim.now.Add(time.Duration(d(60_000, "elapsed")) * time.Millisecond)
	case 7:
		sim.release(v)
	}
	return sim.checkLimit()
}

// checkLimit compares the limit with the sum of the rates that the VMs use now,
// by their own clocks.
func (sim *simulation) checkLimit() error {
	sum := 0.0
	for _, v := range sim.vms {
		if v.lease != nil {
			sum += v.lease.Rate(v.clock(sim))
		}
	}
	if sum > testLimit*1.000001 {
		return fmt.Errorf("%v tokens per second in use exceed the limit of %v", sum, testLimit)
	}
	return nil
}

// The sum of the shares in use must stay within the limit while VMs start,
// stop, pause, restart and lose responses, and writes are applied late.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(func() shareLease { return &Lease{} })
		d := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if err := sim.step(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// exceedsLimit reports whether a random walk with one of the fixed seeds
// exceeds the limit.
func exceedsLimit(newLease func() shareLease) bool {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		sim := newSimulation(newLease)
		for range 200 {
			if sim.step(func(n int, _ string) int { return rng.IntN(n) }) != nil {
				return true
			}
		}
	}
	return false
}

func TestRandomWalkDetectsNaiveLease(t *testing.T) {
	require.True(t, exceedsLimit(func() shareLease { return &naiveLease{} }))
	require.False(t, exceedsLimit(func() shareLease { return &Lease{} }))
}

// Demonstrates why a limit cannot simply be divided by the number of live VMs:
// membership lists that lag behind let the sum exceed the limit.
func TestDividingByLiveListExceedsLimit(t *testing.T) {
	listed := []int{2, 2, 3} // The third VM is only in its own list.
	sum := 0.0
	for _, n := range listed {
		sum += testLimit / float64(n)
	}
	require.Greater(t, sum, testLimit)
}

// Three VMs that each request the whole limit converge to equal shares when
// they renew in turn.
func TestBusyVMsConvergeToEqualShares(t *testing.T) {
	cfg := DefaultConfig()
	now := time.UnixMilli(1_000_000_000_000)
	var row Row
	shares := make([]Share, 3)
	for range 4 {
		for i := range shares {
			request := Request{Holder: Holder{VM: fmt.Sprint(i), Incarnation: 1}, Limit: testLimit, TokensPerSecond: testLimit}
			row, shares[i] = row.Renew(cfg, now, request)
		}
	}
	for _, s := range shares {
		require.InDelta(t, testLimit/3, s.TokensPerSecond, 1)
	}
}

func TestExpiredShareIsReleased(t *testing.T) {
	cfg := DefaultConfig()
	now := time.UnixMilli(1_000_000_000_000)
	row, _ := Row{}.Renew(cfg, now, Request{Holder{"dead", 1}, testLimit, testLimit})
	later := now.Add(cfg.Lease + 2*cfg.ClockError + time.Millisecond)
	_, early := row.Renew(cfg, now.Add(cfg.Lease), Request{Holder{"new", 1}, testLimit, testLimit})
	_, late := row.Renew(cfg, later, Request{Holder{"new", 1}, testLimit, testLimit})
	require.Zero(t, early.TokensPerSecond)
	require.InDelta(t, testLimit, late.TokensPerSecond, 1e-9)
}

// The tokens taken may not exceed the rate multiplied by the elapsed time plus
// the burst and one prompt.
func TestBucketStaysWithinItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now := time.UnixMilli(1_000_000_000_000)
		start, taken, largest := now, 0.0, 0.0
		for range rapid.IntRange(1, 100).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond)
			tokens := rapid.Int64Range(1, 5000).Draw(t, "tokens")
			if _, ok := b.Take(now, testLimit, tokens); ok {
				taken += float64(tokens)
				largest = max(largest, float64(tokens))
			}
		}
		allowed := testLimit*(now.Sub(start)+burstTime).Seconds() + largest
		if taken > allowed+1e-6 {
			t.Fatalf("%v tokens taken, more than the allowed %v", taken, allowed)
		}
	})
}

func TestConfigValidation(t *testing.T) {
	require.NoError(t, DefaultConfig().Validate())
	bad := DefaultConfig()
	bad.Lease = bad.Renew
	require.Error(t, bad.Validate())
}
