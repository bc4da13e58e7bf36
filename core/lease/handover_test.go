package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handover is a way to give up a lease on purpose.
type handover int

const (
	// byExpiry stops and lets the lease run out.
	byExpiry handover = iota
	// byRelease finishes what runs, releases the row and leaves.
	byRelease
	// byEvidence finishes what runs, releases the row, and stays until another
	// VM is seen to hold it; if none does, it takes the lease back and goes on.
	byEvidence
)

func (h handover) String() string {
	return [...]string{"expiry", "release", "quiesce, release on evidence"}[h]
}

const (
	handoverSeeds = 300
	handoverStep  = 50 * time.Millisecond
	// drainLimit is how long a VM that leaves waits for evidence.
	drainLimit = 30 * time.Second
	afterDrain = 60 * time.Second
	// takeBackRank makes a leaver that stays for evidence wait for longer than
	// both candidates need before it takes the lease back.
	takeBackRank = 5
)

// trial is one hand-over from vm 2 to the candidates 0 and 1.
type trial struct {
	*world
	way    handover
	leaver *vm
	// asked is when the hand-over began; left when the leaver was gone.
	asked, left time.Duration
	idle        time.Duration
	overlap     int
}

// acting reports whether the VM may give orders.
func (w *trial) acting(v *vm) bool {
	return !v.dead && v.lease.Valid(v.instant())
}

func (w *trial) measure() {
	n := 0
	for _, v := range w.vms {
		if w.acting(v) {
			n++
		}
	}
	switch {
	case n == 0:
		w.idle += handoverStep
	case n > 1:
		w.overlap++
	}
}

// tick runs every VM once.
func (w *trial) tick(t *testing.T) {
	w.advance(handoverStep)
	for _, v := range w.vms {
		if v != w.leaver {
			w.run(t, v)
		}
	}
	w.run(t, w.leaver)
}

// drain begins the hand-over.
func (w *trial) drain(t *testing.T) {
	w.asked = w.now
	if w.way == byExpiry {
		w.leave()
		return
	}
	for w.leaver.pending != nil || w.leaver.answer != nil {
		w.tick(t)
	}
	l := w.leaver.lease.(*Lease)
	l.SetRank(NotCandidate)
	if w.way == byEvidence {
		l.SetRank(takeBackRank)
	}
	w.release(t, l)
}

func (w *trial) release(t *testing.T, l *Lease) {
	actions, err := l.Handle(w.leaver.instant(), ReleaseNow{})
	require.NoError(t, err)
	w.leaver.pending = actions[len(actions)-1]
}

func (w *trial) leave() {
	w.leaver.dead = true
	w.left = w.now
}

// follow decides whether the leaver may go.
func (w *trial) follow(t *testing.T) {
	l := w.leaver.lease.(*Lease)
	switch {
	case w.leaver.dead || l.State() == "releasing" || w.leaver.pending != nil:
	case w.way == byEvidence && w.now-w.asked > drainLimit && l.State() == "holding" && w.leaver.answer == nil:
		w.way = byRelease
		l.SetRank(NotCandidate)
		w.release(t, l)
	case w.way == byRelease, w.now-w.asked > drainLimit:
		w.leave()
	case l.row.Holder != "" && !l.mine():
		w.leave()
	}
}

// run makes one hand-over, with so many of the candidates absent for a while.
func runHandover(t *testing.T, seed uint64, way handover, absent int, back time.Duration) *trial {
	w := &trial{world: newWorld(t, seed, func(l *Lease) holder { return l }), way: way}
	w.calm = true
	w.leaver = w.vms[2]
	for _, v := range w.vms[:2] {
		v.stopped = 40 * time.Second
	}
	phase := 45*time.Second + time.Duration(w.between(0, 9999))*time.Millisecond
	for w.now < phase {
		w.tick(t)
	}
	require.True(t, w.acting(w.leaver))
	for _, v := range w.vms[:absent] {
		v.stopped = w.now + back
	}
	w.requests = [2]int{}
	w.drain(t)
	for w.now < w.asked+afterDrain {
		w.tick(t)
		w.follow(t)
		w.measure()
	}
	return w
}

// TestPlannedHandover measures the ways of giving up a lease on purpose: the
// time without anybody who may order, orders by two, and the store's work.
func TestPlannedHandover(t *testing.T) {
	median := make(map[string]time.Duration)
	for name, c := range map[string]struct {
		absent int
		back   time.Duration
	}{
		"candidates live":      {0, 0},
		"first candidate gone": {1, time.Hour},
		"all absent for 20 s":  {2, 20 * time.Second},
	} {
		for _, way := range []handover{byExpiry, byRelease, byEvidence} {
			idle := make([]time.Duration, 0, handoverSeeds)
			var drained time.Duration
			requests := [2]int{}
			for seed := range uint64(handoverSeeds) {
				w := runHandover(t, seed, way, c.absent, c.back)
				require.Zero(t, w.overlap, "two holders: %s, %v, seed %d", name, way, seed)
				idle = append(idle, w.idle)
				drained += w.left - w.asked
				requests[reads] += w.requests[reads]
				requests[writes] += w.requests[writes]
			}
			slices.Sort(idle)
			median[fmt.Sprint(name, way)] = idle[len(idle)/2]
			t.Logf("%-22s %-30s without holder: median %v, worst %v; leaver gone after %v; writes %.1f, reads %.1f in %v",
				name, way, idle[len(idle)/2], idle[len(idle)-1], (drained / handoverSeeds).Round(10*time.Millisecond),
				float64(requests[writes])/handoverSeeds, float64(requests[reads])/handoverSeeds, afterDrain)
		}
	}
	require.Less(t, median[fmt.Sprint("candidates live", byRelease)], median[fmt.Sprint("candidates live", byExpiry)])
}
