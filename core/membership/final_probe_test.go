package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probesOf returns the direct probes of a VM among the actions.
func probesOf(actions []Action, id string) []Probe {
	var list []Probe
	for _, a := range actions {
		if p, ok := a.(Probe); ok && p.To.ID == id {
			list = append(list, p)
		}
	}
	return list
}

// TestEarlierProbeDoesNotEndTheFinalOne guards against a VM being declared dead because
// a probe from before its final one fails late, while the final one is under way.
func TestEarlierProbeDoesNotEndTheFinalOne(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig()
	n := New(cfg, Record{ID: "a", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	n.Receive(now, Message{From: Record{ID: "b", Incarnation: 1}})
	earlier := probesOf(n.Tick(now), "b")
	require.Len(t, earlier, 1)
	// Another VM's suspicion arrives, and its time passes before the probe has failed.
	suspect := Record{ID: "b", Incarnation: 1, Status: StatusSuspect}
	n.Receive(now, Message{From: Record{ID: "c", Incarnation: 1}, Updates: []Update{{Record: &suspect}}})
	var final []Probe
	for deadline := now.Add(time.Minute); len(final) == 0 && now.Before(deadline); {
		now = now.Add(100 * time.Millisecond)
		for _, p := range probesOf(n.Tick(now), "b") {
			if n.members["b"].finalProbe == p.Seq {
				final = append(final, p)
			}
		}
	}
	require.NotEmpty(t, final)
	fail := func(seq uint64) {
		for range 1 + cfg.IndirectProbes + 1 {
			n.Failed(now, seq)
		}
	}
	fail(earlier[0].Seq)
	require.Equal(t, StatusSuspect, n.members["b"].Status, "the final probe is under way")
	fail(final[0].Seq)
	require.Equal(t, StatusDead, n.members["b"].Status)
}
