package endpointhealth

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// tracker is the implementation under test: the Tracker or the naive one.
type tracker interface {
	reported(now time.Time, incarnation string, leaving bool)
	marked(now time.Time, incarnation string)
	listed(now time.Time, leaving bool)
	getsWork(now time.Time) bool
}

type realTracker struct{ *Tracker }

func (r realTracker) reported(now time.Time, incarnation string, leaving bool) {
	r.Reported(now, "e", incarnation, leaving)
}
func (r realTracker) marked(now time.Time, incarnation string) { r.Marked(now, Mark{"e", incarnation}) }
func (r realTracker) listed(now time.Time, leaving bool) {
	if leaving {
		r.Listed(now, "e")
	}
}
func (r realTracker) getsWork(now time.Time) bool { return r.Share(now, "e") > 0 }

// naiveTracker accepts every report and every response of the platform's list as
// the current state.
type naiveTracker struct{ leaving bool }

func (n *naiveTracker) reported(_ time.Time, _ string, leaving bool) { n.leaving = leaving }
func (n *naiveTracker) marked(time.Time, string)                     { n.leaving = true }
func (n *naiveTracker) listed(_ time.Time, leaving bool)             { n.leaving = leaving }
func (n *naiveTracker) getsWork(time.Time) bool                      { return !n.leaving }

// simulate runs one endpoint through its incarnations, with reports delayed within
// an incarnation, marks of the current and the previous incarnation, and a stale
// list. It returns false if the endpoint got work after a mark of its current
// incarnation was known.
func simulate(t *rapid.T, tr tracker) bool {
	now := time.Unix(1, 0)
	incarnation := 0
	known := make(map[int]bool)
	tr.reported(now, "0", false)
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			incarnation++
			tr.reported(now, strconv.Itoa(incarnation), false)
		case 1:
			leaving := rapid.Bool().Draw(t, "leaving")
			known[incarnation] = known[incarnation] || leaving
			tr.reported(now, strconv.Itoa(incarnation), leaving)
		case 2:
			of := rapid.IntRange(max(0, incarnation-1), incarnation).Draw(t, "marked")
			known[of] = true
			tr.marked(now, strconv.Itoa(of))
		case 3:
			tr.listed(now, rapid.Bool().Draw(t, "list"))
		}
		if known[incarnation] && tr.getsWork(now) {
			return false
		}
	}
	return true
}

func TestMarkIsNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.True(t, simulate(t, realTracker{NewTracker()})) })
}

func TestSimulationDetectsNaiveTracker(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		if !simulate(t, &naiveTracker{}) {
			detected = true
		}
	})
	require.True(t, detected)
}

func TestReturningEndpointRampsUp(t *testing.T) {
	tr := NewTracker()
	now := time.Unix(1, 0)
	tr.Reported(now, "e", "a", false)
	require.Equal(t, 1.0, tr.Share(now, "e"), "an endpoint that never left gets its full share")
	m, notify := tr.Reported(now, "e", "a", true)
	require.True(t, notify)
	require.Equal(t, Mark{"e", "a"}, m)
	_, notify = tr.Marked(now, m)
	require.False(t, notify, "a mark is sent once")
	require.Zero(t, tr.Share(now, "e"))
	tr.Reported(now, "e", "b", false)
	require.InDelta(t, initialShare, tr.Share(now, "e"), 0.01)
	half := now.Add(RampDuration / 2)
	require.InDelta(t, 0.55, tr.Share(half, "e"), 0.01)
	require.Equal(t, 1.0, tr.Share(now.Add(RampDuration), "e"))
	require.Equal(t, StateUp, tr.State("e"))
	tr.Marked(now, Mark{"e", "older"})
	require.Equal(t, StateUp, tr.State("e"), "a mark of another incarnation")
}

func TestFailedEndpointGetsNoWorkUntilItReports(t *testing.T) {
	tr := NewTracker()
	now := time.Unix(1, 0)
	tr.Reported(now, "e", "a", false)
	tr.Failed(now, "e")
	require.Zero(t, tr.Share(now, "e"))
	tr.Reported(now, "e", "a", false)
	require.Equal(t, 1.0, tr.Share(now, "e"))
}
