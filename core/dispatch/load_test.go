package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds are those of the days that the tests of load play.
var seeds = []uint64{1, 2}

// simulateSeeds plays days whose load swings and returns the mean of what they bring.
func simulateSeeds(load float64, shortFirst, leastRequests bool) simResult {
	mean := simResult{valueByKind: make(map[string]float64), servedByKind: make(map[string]float64)}
	n := float64(len(seeds))
	for _, seed := range seeds {
		r := simulateAlternating(seed, DefaultConfig(), load, shortFirst, leastRequests)
		mean.value += r.value / n
		mean.worstWindows += r.worstWindows / n
		for kind, share := range r.valueByKind {
			mean.valueByKind[kind] += share / n
			mean.servedByKind[kind] += r.servedByKind[kind] / n
		}
	}
	return mean
}

// requireBetterThanLeastRequests checks that no kind of prompt fares worse than with the naive policy,
// and that all together fare better by half of what is missing there.
func requireBetterThanLeastRequests(t *testing.T, load float64, shortFirst bool) simResult {
	t.Helper()
	ours, baseline := simulateSeeds(load, shortFirst, false), simulateSeeds(load, shortFirst, true)
	for kind := range ours.valueByKind {
		require.GreaterOrEqual(t, ours.valueByKind[kind], baseline.valueByKind[kind], kind)
	}
	require.Greater(t, 1-baseline.value, 2*(1-ours.value))
	return ours
}

// TestShiftToLongPrompts plays many short prompts, then within seconds few short
// and many long ones.
func TestShiftToLongPrompts(t *testing.T) { requireBetterThanLeastRequests(t, 0.8, true) }

// TestShiftToShortPrompts plays the reverse: the engines that read long prompts
// must be free for short ones soon.
func TestShiftToShortPrompts(t *testing.T) { requireBetterThanLeastRequests(t, 0.8, false) }

// TestOverload asks for more long reading than the engines have time for: each
// kind is served at least half as often as it is asked for.
func TestOverload(t *testing.T) {
	r := simulateSeeds(1.2, false, false)
	for kind, share := range r.servedByKind {
		require.Greater(t, share, 0.5, kind)
	}
	require.Greater(t, r.value, simulateSeeds(1.2, false, true).value)
}

// TestLongPromptsNearPrefillCapacity asks for nearly as much reading as the engines
// have time for. Long prompts that each take one engine for seconds are late
// then, while the same work one after the other, each read by many, is not: most
// of what they are worth is earned.
func TestLongPromptsNearPrefillCapacity(t *testing.T) {
	for _, shortFirst := range []bool{true, false} {
		r := simulateSeeds(1.1, shortFirst, false)
		require.Greater(t, r.valueByKind["long"], 0.6)
	}
}

// TestEveryJobEnds plays an overload and checks that no prompt is left
// without an end, and that nothing stays booked.
func TestEveryJobEnds(t *testing.T) {
	s := newSim(9, DefaultConfig(), 10)
	s.arrivals(simKinds(), alternatingPhases(false), 1.2, 12000)
	s.run()
	for _, j := range s.jobs {
		require.True(t, j.done || j.failed, j.id)
	}
	require.Zero(t, s.d.Waiting())
	require.Zero(t, s.d.Placed())
	require.Zero(t, s.d.demandOf("s").active)
	require.InDelta(t, 0, s.d.demandOf("s").backlogMs, 1e-6)
	for _, e := range s.d.endpoints {
		require.Zero(t, e.received, e.ID)
		require.Zero(t, e.helped, e.ID)
		require.Zero(t, e.heldTokens, e.ID)
		require.Zero(t, e.model.Writers(), e.ID)
	}
}

// TestMoreShortPromptsThanSlots asks for a tenth more short prompts than the
// engines have slots for, for ten seconds: most must still be in time, rather than
// all a little late.
func TestMoreShortPromptsThanSlots(t *testing.T) {
	kinds := simKinds()[:1]
	s := newSim(3, DefaultConfig(), 10)
	s.arrivals(kinds, []simPhase{{0, [3]float64{2.3, 0, 0}}, {10000, [3]float64{0.5, 0, 0}}}, 1, 14000)
	s.run()
	inTime, all := 0.0, 0.0
	for _, j := range s.jobs {
		if j.arrivedMs > 10000 {
			continue
		}
		all++
		if j.done && !j.late {
			inTime++
		}
	}
	require.Greater(t, inTime/all, 0.5)
}
