package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handoverMethod is a method of handing over a lease deliberately.
type handoverMethod int

const (
	// byExpiry stops the VM and lets the lease expire.
	byExpiry handoverMethod = iota
	// byRelease finishes the operations in flight, releases the row and stops the
	// VM.
	byRelease
	// byConfirmation finishes the operations in flight, releases the row, and
	// keeps the VM running until it sees another holder. If there is none, the VM
	// takes the lease back and continues.
	byConfirmation
)

func (h handoverMethod) String() string {
	return [...]string{"expiry", "release", "quiesce, release on evidence"}[h]
}

const (
	handoverSeeds = 300
	handoverStep  = 50 * time.Millisecond
	// confirmationLimit is how long a leaving VM waits to see another holder.
	confirmationLimit = 30 * time.Second
	observationTime   = 60 * time.Second
	// reacquireRank makes a leaving VM that waits for another holder wait longer
	// than both candidates need before it takes the lease back.
	reacquireRank = 5
)

// handoverRun is one hand-over from VM 2 to the candidates 0 and 1.
type handoverRun struct {
	*simulation
	method  handoverMethod
	leaving *vm
	// startedAt is when the hand-over began, leftAt when the leaving VM stopped.
	startedAt, leftAt time.Duration
	unheld            time.Duration
	overlaps          int
}

// mayAct reports whether the VM may act under the lease.
func (r *handoverRun) mayAct(v *vm) bool {
	return !v.terminated && v.lease.Valid(v.instant())
}

func (r *handoverRun) measure() {
	n := 0
	for _, v := range r.vms {
		if r.mayAct(v) {
			n++
		}
	}
	switch {
	case n == 0:
		r.unheld += handoverStep
	case n > 1:
		r.overlaps++
	}
}

// tick advances the clocks by one step and runs every VM once, the leaving VM
// last.
func (r *handoverRun) tick(t *testing.T) {
	r.advance(handoverStep)
	for _, v := range r.vms {
		if v != r.leaving {
			r.step(t, v)
		}
	}
	r.step(t, r.leaving)
}

// beginHandover begins the hand-over.
func (r *handoverRun) beginHandover(t *testing.T) {
	r.startedAt = r.now
	if r.method == byExpiry {
		r.leave()
		return
	}
	for r.leaving.pending != nil || r.leaving.response != nil {
		r.tick(t)
	}
	l := r.leaving.lease.(*Lease)
	l.SetRank(NotCandidate)
	if r.method == byConfirmation {
		l.SetRank(reacquireRank)
	}
	r.release(t, l)
}

func (r *handoverRun) release(t *testing.T, l *Lease) {
	actions, err := l.Handle(r.leaving.instant(), ReleaseNow{})
	require.NoError(t, err)
	r.leaving.pending = actions[len(actions)-1]
}

func (r *handoverRun) leave() {
	r.leaving.terminated = true
	r.leftAt = r.now
}

// continueHandover stops the leaving VM once its method allows it.
func (r *handoverRun) continueHandover(t *testing.T) {
	l := r.leaving.lease.(*Lease)
	switch {
	case r.leaving.terminated || l.State() == "releasing" || r.leaving.pending != nil:
	case r.method == byConfirmation && r.now-r.startedAt > confirmationLimit && l.State() == "holding" && r.leaving.response == nil:
		r.method = byRelease
		l.SetRank(NotCandidate)
		r.release(t, l)
	case r.method == byRelease, r.now-r.startedAt > confirmationLimit:
		r.leave()
	case l.row.Holder != "" && !l.ownsRow():
		r.leave()
	}
}

// runHandover runs one hand-over in which the given number of candidates is
// paused for the time absence.
func runHandover(t *testing.T, seed uint64, method handoverMethod, absent int, absence time.Duration) *handoverRun {
	r := &handoverRun{simulation: newSimulation(t, seed, func(l *Lease) holder { return l }), method: method}
	r.noFaults = true
	r.leaving = r.vms[2]
	for _, v := range r.vms[:2] {
		v.pausedUntil = 40 * time.Second
	}
	handoverAt := 45*time.Second + time.Duration(r.intBetween(0, 9999))*time.Millisecond
	for r.now < handoverAt {
		r.tick(t)
	}
	require.True(t, r.mayAct(r.leaving))
	for _, v := range r.vms[:absent] {
		v.pausedUntil = r.now + absence
	}
	r.requests = [2]int{}
	r.beginHandover(t)
	for r.now < r.startedAt+observationTime {
		r.tick(t)
		r.continueHandover(t)
		r.measure()
	}
	return r
}

// TestPlannedHandover compares the methods of a deliberate hand-over by the time
// without a valid holder, times with two holders, and the load on the store.
func TestPlannedHandover(t *testing.T) {
	median := make(map[string]time.Duration)
	for name, c := range map[string]struct {
		absent  int
		absence time.Duration
	}{
		"candidates live":      {0, 0},
		"first candidate down": {1, time.Hour},
		"all absent for 20 s":  {2, 20 * time.Second},
	} {
		for _, method := range []handoverMethod{byExpiry, byRelease, byConfirmation} {
			unheld := make([]time.Duration, 0, handoverSeeds)
			var totalDrain time.Duration
			requests := [2]int{}
			for seed := range uint64(handoverSeeds) {
				r := runHandover(t, seed, method, c.absent, c.absence)
				require.Zero(t, r.overlaps, "two holders: %s, %v, seed %d", name, method, seed)
				unheld = append(unheld, r.unheld)
				totalDrain += r.leftAt - r.startedAt
				requests[reads] += r.requests[reads]
				requests[writes] += r.requests[writes]
			}
			slices.Sort(unheld)
			median[fmt.Sprint(name, method)] = unheld[len(unheld)/2]
			t.Logf("%-22s %-30s without holder: median %v, worst %v; VM stopped after %v; writes %.1f, reads %.1f in %v",
				name, method, unheld[len(unheld)/2], unheld[len(unheld)-1], (totalDrain / handoverSeeds).Round(10*time.Millisecond),
				float64(requests[writes])/handoverSeeds, float64(requests[reads])/handoverSeeds, observationTime)
		}
	}
	require.Less(t, median[fmt.Sprint("candidates live", byRelease)], median[fmt.Sprint("candidates live", byExpiry)])
}
