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

// health is what is under test: the Tracker, or the naive one.
type health interface {
	reported(now time.Time, incarnation string, leaving bool)
	marked(now time.Time, incarnation string)
	list(leaving bool)
	takes(now time.Time) bool
}

type tracked struct{ *Tracker }

func (h tracked) reported(now time.Time, incarnation string, leaving bool) {
	h.Reported(now, "e", incarnation, leaving)
}
func (h tracked) marked(now time.Time, incarnation string) { h.Marked(now, Mark{"e", incarnation}) }
func (h tracked) list(bool)                                {}
func (h tracked) takes(now time.Time) bool                 { return h.Share(now, "e") > 0 }

// naive takes the platform's list and the latest report at their word.
type naive struct{ leaving bool }

func (h *naive) reported(_ time.Time, _ string, leaving bool) { h.leaving = leaving }
func (h *naive) marked(time.Time, string)                     { h.leaving = true }
func (h *naive) list(leaving bool)                            { h.leaving = leaving }
func (h *naive) takes(time.Time) bool                         { return !h.leaving }

// run drives one endpoint through its incarnations, with reports that are late
// within an incarnation, marks of any, and a list that lags. It reports whether
// an endpoint got work after the mark of its incarnation was known.
func run(t *rapid.T, h health) bool {
	now := time.Unix(1, 0)
	incarnation := 0
	known := make(map[int]bool)
	h.reported(now, "0", false)
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			incarnation++
			h.reported(now, strconv.Itoa(incarnation), false)
		case 1:
			leaving := rapid.Bool().Draw(t, "leaving")
			known[incarnation] = known[incarnation] || leaving
			h.reported(now, strconv.Itoa(incarnation), leaving)
		case 2:
			of := rapid.IntRange(max(0, incarnation-1), incarnation).Draw(t, "marked")
			known[of] = true
			h.marked(now, strconv.Itoa(of))
		case 3:
			h.list(rapid.Bool().Draw(t, "list"))
		}
		if known[incarnation] && h.takes(now) {
			return false
		}
	}
	return true
}

func TestMarkIsNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.True(t, run(t, tracked{NewTracker()})) })
}

func TestTrustingTheListIsCaught(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		if !run(t, &naive{}) {
			caught = true
		}
	})
	require.True(t, caught)
}

func TestReturningEndpointRampsUp(t *testing.T) {
	tr := NewTracker()
	now := time.Unix(1, 0)
	tr.Reported(now, "e", "a", false)
	require.Equal(t, 1.0, tr.Share(now, "e"), "an endpoint that was never away gets its full share")
	m, tell := tr.Reported(now, "e", "a", true)
	require.True(t, tell)
	require.Equal(t, Mark{"e", "a"}, m)
	_, tell = tr.Marked(now, m)
	require.False(t, tell, "told once")
	require.Zero(t, tr.Share(now, "e"))
	tr.Reported(now, "e", "b", false)
	require.InDelta(t, firstShare, tr.Share(now, "e"), 0.01)
	half := now.Add(RampTime / 2)
	require.InDelta(t, 0.55, tr.Share(half, "e"), 0.01)
	require.Equal(t, 1.0, tr.Share(now.Add(RampTime), "e"))
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
