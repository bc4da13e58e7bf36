package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds are the random seeds over which simulations are averaged.
var seeds = []uint64{1, 2}

// simulateSeeds simulates a load that alternates between short and long
// prompts, and returns the mean result over the seeds.
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

// requireBetterThanLeastRequests checks that no kind of prompt earns less than
// under the least-requests policy, and that the value lost overall is less than
// half of that policy's.
func requireBetterThanLeastRequests(t *testing.T, load float64, shortFirst bool) simResult {
	t.Helper()
	ours, baseline := simulateSeeds(load, shortFirst, false), simulateSeeds(load, shortFirst, true)
	for kind := range ours.valueByKind {
		require.GreaterOrEqual(t, ours.valueByKind[kind], baseline.valueByKind[kind], kind)
	}
	require.Greater(t, 1-baseline.value, 2*(1-ours.value))
	return ours
}

// The load shifts from many short prompts to few short and many long ones
// within seconds.
func TestShiftToLongPrompts(t *testing.T) { requireBetterThanLeastRequests(t, 0.8, true) }

// The load shifts from long prompts to short ones: the engines in long prefills
// must become free for short prompts soon.
func TestShiftToShortPrompts(t *testing.T) { requireBetterThanLeastRequests(t, 0.8, false) }

// The long prompts need more prefill time than the engines have. Still, more
// than half of the prompts of each kind must be served.
func TestOverload(t *testing.T) {
	r := simulateSeeds(1.2, false, false)
	for kind, share := range r.servedByKind {
		require.Greater(t, share, 0.5, kind)
	}
	require.Greater(t, r.value, simulateSeeds(1.2, false, true).value)
}

// The prompts need nearly as much prefill time as the engines have. If each
// long prompt occupies one engine for seconds, all are late; if they are
// prefilled one after the other, each by many engines, most of their value is
// earned.
func TestLongPromptsNearPrefillCapacity(t *testing.T) {
	for _, shortFirst := range []bool{true, false} {
		r := simulateSeeds(1.1, shortFirst, false)
		require.Greater(t, r.valueByKind["long"], 0.6)
	}
}

// Under overload every prompt must be served or fail, and nothing may stay
// accounted for afterwards.
func TestEveryJobEnds(t *testing.T) {
	s := newSim(9, DefaultConfig(), 10)
	s.arrivals(simKinds(), alternatingPhases(false), 1.2, 12000)
	s.run()
	for _, j := range s.jobs {
		require.True(t, j.done || j.failed, j.id)
	}
	require.Zero(t, s.d.Queued())
	require.Zero(t, s.d.Placed())
	require.Zero(t, s.d.demandOf("s").active)
	require.InDelta(t, 0, s.d.demandOf("s").backlogMs, 1e-6)
	for _, e := range s.d.endpoints {
		require.Zero(t, e.received, e.ID)
		require.Zero(t, e.helped, e.ID)
		require.Zero(t, e.heldTokens, e.ID)
		require.Zero(t, e.model.Decoding(), e.ID)
	}
}

// For ten seconds, a tenth more short prompts arrive than the engines have
// slots for. Most must still be on time, rather than all a little late.
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
