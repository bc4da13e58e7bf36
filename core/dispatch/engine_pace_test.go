package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/workcost"
)

// runPaces simulates prompts at 18 engines with and without learned paces.
func runPaces(seed uint64, load float64, slowdown func(ms float64, id string) float64) (unscaled, learned *sim) {
	sims := make([]*sim, 0, 2)
	for _, learn := range []bool{false, true} {
		cfg := DefaultConfig()
		cfg.LearnCosts = learn
		s := newSim(seed, cfg, 18)
		s.slowdown = slowdown
		s.arrivals(simKinds(), []simPhase{{0, [3]float64{1, 1, 1}}}, load, 24000)
		s.run()
		sims = append(sims, s)
	}
	return sims[0], sims[1]
}

// TestEvenEnginesAreUsedAsBefore guards against paces that are learned from the errors of the model:
// with even engines each prompt has the same engines and times.
func TestEvenEnginesAreUsedAsBefore(t *testing.T) {
	for seed := range uint64(3) {
		for _, load := range []float64{0.5, 1} {
			unscaled, learned := runPaces(seed, load, nil)
			require.Empty(t, learned.d.costs.slow)
			for i, j := range unscaled.jobs {
				require.Equal(t, [2]float64{j.firstMs, j.endMs}, [2]float64{learned.jobs[i].firstMs, learned.jobs[i].endMs}, j.id)
			}
		}
	}
}

// TestEnginesThatBecomeSlow lets four of 18 engines become five times slower for 6 s, then four others.
// It guards against predictions that stay those of usual engines.
func TestEnginesThatBecomeSlow(t *testing.T) {
	slowdown := func(ms float64, id string) float64 {
		first := ms >= 4000 && ms < 10000 && id >= "e002" && id <= "e005"
		second := ms >= 12000 && ms < 18000 && id >= "e008" && id <= "e011"
		if first || second {
			return 5
		}
		return 1
	}
	const seeds = 5
	var unscaled, learned simResult
	for _, load := range []float64{0.4, 0.6, 0.8} {
		var at [2]float64
		for seed := range uint64(seeds) {
			a, b := runPaces(seed+100, load, slowdown)
			x, y := a.result(), b.result()
			at[0] += x.value / seeds
			at[1] += y.value / seeds
			unscaled.worstWindows += x.worstWindows / seeds / 3
			learned.worstWindows += y.worstWindows / seeds / 3
		}
		t.Logf("load %.1f: value %.4f with unscaled predictions, %.4f with learned paces", load, at[0], at[1])
		require.GreaterOrEqual(t, at[1], at[0]-0.01, load)
		unscaled.value += at[0] / 3
		learned.value += at[1] / 3
	}
	t.Logf("all: value %.4f and %.4f, worst windows %.4f and %.4f", unscaled.value, learned.value, unscaled.worstWindows, learned.worstWindows)
	require.Greater(t, learned.value, unscaled.value)
	require.GreaterOrEqual(t, learned.worstWindows, unscaled.worstWindows-0.01)
}

// TestPacesOfEnginesAreMerged guards against a new holder that takes slow engines for usual ones.
func TestPacesOfEnginesAreMerged(t *testing.T) {
	cfg := DefaultConfig()
	cfg.LearnCosts = true
	old, s := newSim(1, cfg, 5), newSim(1, cfg, 18)
	for i := range 50 {
		o := workcost.Observation{Kind: workcost.Kind{Service: "s"}, Endpoint: old.engineList[i%5].id, Took: time.Second}
		if o.Endpoint == "e003" {
			o.Took *= 5
		}
		old.d.costs.Observe(old.start, o)
	}
	s.d.AddCosts(s.start, "s", "old", old.d.Costs(old.start, "s"))
	require.Equal(t, map[string]bool{"e003": true}, s.d.costs.slow)
	require.InDelta(t, slowModelScale*simCostModel().StepMs, s.d.endpoints["e003"].engine.StepMs, 1e-9)
	require.InDelta(t, simCostModel().StepMs, s.d.endpoints["e004"].engine.StepMs, 1e-9)
}
