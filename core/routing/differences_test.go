package routing

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// TestDifferencesAreThoseOfTheMeaning guards against differences of the text that have no
// effect being reported.
func TestDifferencesAreThoseOfTheMeaning(t *testing.T) {
	after := soundDeployment()
	after.Version = 9
	slices.Reverse(after.Routes)
	slices.Reverse(after.Services)
	slices.Reverse(after.Organisations)
	after.Routes[1].Host = "H.EXAMPLE"
	after.Routes[1].Shares = []Share{{"p", 4}, {"s", 1}, {"s", 1}}
	after.Routes[1].Resumable = true
	list, err := Differences(soundDeployment(), after)
	require.NoError(t, err)
	require.Empty(t, list)
}

// TestDifferences guards against lost differences, and against API keys in the output.
func TestDifferences(t *testing.T) {
	for pointer, change := range map[string]func(d *Deployment){
		"/routes/wide/timeout":     func(d *Deployment) { d.Routes[0].Timeout = time.Minute },
		"/routes/wide/goal":        func(d *Deployment) { d.Routes[0].Goal = time.Millisecond },
		"/routes/wide/shares/s":    func(d *Deployment) { d.Routes[0].Shares[0].Weight = 3; d.Routes[0].Shares[1].Weight = 2 },
		"/routes/narrow/shares/p":  func(d *Deployment) { d.Routes[1].Shares = append(d.Routes[1].Shares, Share{"p", 1}) },
		"/routes/narrow/resumable": func(d *Deployment) { d.Routes[1].Resumable = true },
		"/routes/narrow":           func(d *Deployment) { d.Routes = d.Routes[:1] },
		"/routes/other":            func(d *Deployment) { d.Routes = append(d.Routes, Route{Name: "other"}) },
		"/services/s/engine": func(d *Deployment) {
			d.Services[0].Engine = &engine.CostModel{Slots: 1, MemoryTokens: 1, Stride: 1, ChunkTokens: 1, PrefillTokensPerMs: 1}
		},
		"/services/s/cold_per_second":  func(d *Deployment) { d.Services[0].ColdPerSecond = 2 },
		"/organisations/o/priority":    func(d *Deployment) { d.Organisations[0].HasPriority = true },
		"/organisations/o/key_digests": func(d *Deployment) { d.Organisations[0].Keys = []string{"secret-key"} },
		"/limits/body_grace":           func(d *Deployment) { d.Limits.BodyGrace = 1 },
		"/limits/body_rate":            func(d *Deployment) { d.Limits.BodyRate = 1 },
		"/limits/max_body_bytes":       func(d *Deployment) { d.Limits.MaxBodyBytes = 1 },
	} {
		before, after := soundDeployment(), soundDeployment()
		before.Routes[1].Kind, after.Routes[1].Kind = Streaming, Streaming
		change(&after)
		list, err := Differences(before, after)
		require.NoError(t, err)
		pointers := make([]string, 0, len(list))
		for _, d := range list {
			pointers = append(pointers, d.Pointer)
		}
		require.Contains(t, pointers, pointer)
		if pointer != "/routes/wide/shares/s" {
			require.Len(t, list, 1, pointer)
		}
		text, err := json.Marshal(list)
		require.NoError(t, err)
		require.NotContains(t, string(text), "secret-key")
	}
}

// TestDifferenceOfASelectedRoute guards against an exchange of two routes with the same host
// and prefix that looks like a change of order only.
func TestDifferenceOfASelectedRoute(t *testing.T) {
	before := soundDeployment()
	before.Routes[1].Prefix = "/"
	after := soundDeployment()
	after.Routes[1].Prefix = "/"
	slices.Reverse(after.Routes)
	list, err := Differences(before, after)
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Equal(t, "changed: /routes/narrow/selected: false -> true", list[0].String())
}
