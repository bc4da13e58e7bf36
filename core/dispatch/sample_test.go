package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// manyEngines returns a dispatcher of a service with the given number of engines.
func manyEngines(engines, maxCandidates int) *Dispatcher {
	cfg := DefaultConfig()
	cfg.MaxCandidates = maxCandidates
	d := New(cfg)
	d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
	list := make([]Endpoint, 0, engines)
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%04d", i), Service: "s", Slots: 16})
	}
	d.SetEndpoints(start, list)
	return d
}

// TestSampleIsBoundedAndMovesOn checks that a large service's engines are all offered in
// turn, a bounded number each time, and those of the lowest class each time.
func TestSampleIsBoundedAndMovesOn(t *testing.T) {
	const engines, room, first = 1000, 64, 10
	d := manyEngines(engines, room)
	pool := d.pools["s"]
	seen := make(map[string]bool)
	for range engines/(room-first) + 2 {
		d.searches++
		chosen := d.sampleForLight(pool, first)
		require.Len(t, chosen, room)
		require.Equal(t, pool[:first], chosen[:first])
		for _, e := range chosen {
			seen[e.ID] = true
		}
	}
	require.Greater(t, len(seen), engines*9/10)
	require.Equal(t, pool[:room], d.sampleForLight(pool[:room], first), "a small service is evaluated as a whole")
}

// TestSampleSpreadsLoad places prompts on a large service, and compares the fullest engine
// with the one that results if all engines are evaluated for each prompt.
func TestSampleSpreadsLoad(t *testing.T) {
	fullest := func(maxCandidates, tokens int) int {
		d := manyEngines(600, maxCandidates)
		for i := range 1200 {
			submitAndPlace(t, d, start, prompt(strconv.Itoa(i), tokens, start))
		}
		most := slices.MaxFunc(d.pools["s"], func(a, b *endpoint) int { return a.received - b.received })
		return most.received
	}
	require.LessOrEqual(t, fullest(100, 1000), fullest(600, 1000)+1)
}
