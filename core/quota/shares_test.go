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

// spender is a VM's side of its share; Lease, or a naive version.
type spender interface {
	Rate(now time.Time) float64
	Ask(s Share)
	Granted()
	Refused()
	Drop()
}

// carelessLease goes on spending its old share until it hears of the new one.
type carelessLease struct{ Lease }

func (l *carelessLease) Ask(s Share) { l.asked = &s }

// write is a transaction under way.
type write struct {
	version int64
	row     Row
	from    *vm
}

// vm is one VM of the state machine. Its clock is off by a constant.
type vm struct {
	holder  Holder
	offset  time.Duration
	lease   spender
	pending *write
}

// world is the table row, the VMs and the writes under way.
type world struct {
	cfg     Config
	now     time.Time
	row     Row
	version int64
	vms     []*vm
	flying  []*write
	make    func() spender
	starts  int64
}

func newWorld(make func() spender) *world {
	w := &world{cfg: DefaultConfig(), now: time.UnixMilli(1_000_000_000_000), make: make}
	for range testVMs {
		w.vms = append(w.vms, &vm{})
	}
	return w
}

// start replaces a VM by a new incarnation; the old one is gone at once.
func (w *world) start(i int, d draw) {
	w.starts++
	skew := time.Duration(d(int(2*w.cfg.ClockError/time.Millisecond)+1, "offset")) * time.Millisecond
	w.vms[i] = &vm{
		holder: Holder{VM: fmt.Sprint(i), Incarnation: w.starts},
		offset: skew - w.cfg.ClockError,
		lease:  w.make(),
	}
}

func (v *vm) clock(w *world) time.Time { return w.now.Add(v.offset) }

// ask reads the row and begins a write, which may land at any later time.
func (w *world) ask(v *vm, d draw) {
	if v.lease == nil || v.pending != nil {
		return
	}
	want := testLimit * float64(d(11, "want")) / 10
	next, share := w.row.Renew(w.cfg, v.clock(w), Ask{Holder: v.holder, Limit: testLimit, Want: want})
	v.lease.Ask(share)
	v.pending = &write{version: w.version, row: next, from: v}
	w.flying = append(w.flying, v.pending)
}

// land has a write reach the table; its answer may be lost.
func (w *world) land(i int, lost bool) {
	x := w.flying[i]
	w.flying = append(w.flying[:i], w.flying[i+1:]...)
	applied := x.version == w.version
	if applied {
		w.row, w.version = x.row, w.version+1
	}
	if x.from.pending != x || lost {
		return
	}
	x.from.pending = nil
	if applied {
		x.from.lease.Granted()
	} else {
		x.from.lease.Refused()
	}
}

// giveUp has a VM stop waiting for an answer.
func (v *vm) giveUp() {
	if v.pending != nil {
		v.pending = nil
		v.lease.Refused()
	}
}

// release gives a share back: the VM stops first, then the row says so.
func (w *world) release(v *vm) {
	if v.lease == nil || v.pending != nil {
		return
	}
	v.lease.Drop()
	w.row, w.version = w.row.Release(v.holder), w.version+1
}

// step does one thing at random and checks the promise.
func (w *world) step(d draw) error {
	v := w.vms[d(testVMs, "vm")]
	switch d(8, "action") {
	case 0:
		w.start(d(testVMs, "restart"), d)
	case 1, 2:
		w.ask(v, d)
	case 3, 4:
		if len(w.flying) > 0 {
			w.land(d(len(w.flying), "write"), d(4, "lost") == 0)
		}
	case 5:
		v.giveUp()
	case 6:
		w.now = w.now.Add(time.Duration(d(60_000, "passes")) * time.Millisecond)
	case 7:
		w.release(v)
	}
	return w.check()
}

// check adds up what all VMs would spend at this moment, by their own clocks.
func (w *world) check() error {
	sum := 0.0
	for _, v := range w.vms {
		if v.lease != nil {
			sum += v.lease.Rate(v.clock(w))
		}
	}
	if sum > testLimit*1.000001 {
		return fmt.Errorf("%v tokens a second are spent of %v", sum, testLimit)
	}
	return nil
}

// TestSharesNeverPassTheLimit drives VMs that come, go, pause, restart and lose
// answers, with writes that land late.
func TestSharesNeverPassTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func() spender { return &Lease{} })
		d := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if err := w.step(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// violated reports whether a seeded walk finds the promise broken.
func violated(make func() spender) bool {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := newWorld(make)
		for range 200 {
			if w.step(func(n int, _ string) int { return rng.IntN(n) }) != nil {
				return true
			}
		}
	}
	return false
}

func TestTheWalkCatchesACarelessLease(t *testing.T) {
	require.True(t, violated(func() spender { return &carelessLease{} }))
	require.False(t, violated(func() spender { return &Lease{} }))
}

// TestDividingByTheLiveListPassesTheLimit is the naive way: each VM takes the
// limit divided by the number of VMs in a list that lags.
func TestDividingByTheLiveListPassesTheLimit(t *testing.T) {
	listed := []int{2, 2, 3} // The third VM is in its own list only.
	sum := 0.0
	for _, n := range listed {
		sum += testLimit / float64(n)
	}
	require.Greater(t, sum, testLimit)
}

// TestBusyVMsComeToEqualShares lets three VMs that want everything renew in
// turn.
func TestBusyVMsComeToEqualShares(t *testing.T) {
	cfg := DefaultConfig()
	now := time.UnixMilli(1_000_000_000_000)
	var row Row
	shares := make([]Share, 3)
	for range 4 {
		for i := range shares {
			ask := Ask{Holder: Holder{VM: fmt.Sprint(i), Incarnation: 1}, Limit: testLimit, Want: testLimit}
			row, shares[i] = row.Renew(cfg, now, ask)
		}
	}
	for _, s := range shares {
		require.InDelta(t, testLimit/3, s.TokensPerSecond, 1)
	}
}

func TestAShareOfADeadVMComesBack(t *testing.T) {
	cfg := DefaultConfig()
	now := time.UnixMilli(1_000_000_000_000)
	row, _ := Row{}.Renew(cfg, now, Ask{Holder{"dead", 1}, testLimit, testLimit})
	later := now.Add(cfg.Lease + 2*cfg.ClockError + time.Millisecond)
	_, early := row.Renew(cfg, now.Add(cfg.Lease), Ask{Holder{"new", 1}, testLimit, testLimit})
	_, late := row.Renew(cfg, later, Ask{Holder{"new", 1}, testLimit, testLimit})
	require.Zero(t, early.TokensPerSecond)
	require.InDelta(t, testLimit, late.TokensPerSecond, 1e-9)
}

// TestABucketSpendsItsRate compares what a bucket lets through with rate times
// time, its burst and one prompt.
func TestABucketSpendsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now := time.UnixMilli(1_000_000_000_000)
		start, taken, largest := now, 0.0, 0.0
		for range rapid.IntRange(1, 100).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passes")) * time.Millisecond)
			tokens := rapid.Int64Range(1, 5000).Draw(t, "tokens")
			if _, ok := b.Take(now, testLimit, tokens); ok {
				taken += float64(tokens)
				largest = max(largest, float64(tokens))
			}
		}
		allowed := testLimit*(now.Sub(start)+burst).Seconds() + largest
		if taken > allowed+1e-6 {
			t.Fatalf("%v tokens taken of %v", taken, allowed)
		}
	})
}

func TestConfigIsChecked(t *testing.T) {
	require.NoError(t, DefaultConfig().Validate())
	bad := DefaultConfig()
	bad.Lease = bad.Renew
	require.Error(t, bad.Validate())
}
