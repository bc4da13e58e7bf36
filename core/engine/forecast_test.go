package engine

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestForecastOfLongestPass compares the forecast of the longest pass with the passes of
// the model: the mean hides the one pass that a job which is decoding has to wait for.
func TestForecastOfLongestPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := newDecodingModel(rapid.IntRange(1, 16).Draw(t, "decoding"))
		part := func(label string) *PrefillPart {
			p := m.costModel.NewPrefillPart(rapid.IntRange(1, 1_500_000).Draw(t, label), 1)
			p.Ms *= rapid.Float64Range(0.5, 2).Draw(t, "pace")
			p.Shared = rapid.Bool().Draw(t, "shared")
			return p
		}
		for range rapid.IntRange(0, 4).Draw(t, "queued") {
			m.Add(start, part("tokens"))
		}
		inserted := part("inserted")
		f := m.Forecast(start, *inserted)

		m.Add(start, inserted)
		longest := 0.0
		m.Advance(m.passEnd)
		for slices.Contains(m.parts, inserted) {
			longest = max(longest, Ms(m.passEnd.Sub(m.passStart)))
			m.Advance(m.passEnd)
		}
		require.InDelta(t, longest, f.LongestPassMs, 0.01)
		require.GreaterOrEqual(t, f.LongestPassMs, f.MeanPassMs-0.01)
	})
}

// TestLongestPassOfALongPrompt checks that a prompt of little more than one pass is
// forecast with its whole pass, not with the mean of that and the rest.
func TestLongestPassOfALongPrompt(t *testing.T) {
	m := NewModel(&CostModel{Slots: 4, Stride: 10, ChunkTokens: 100, StepMs: 1, PrefillTokensPerMs: 10})
	m.AddDecoding(start, 1, 0)
	f := m.Forecast(start, *m.costModel.NewPrefillPart(1100, 1))
	require.InDelta(t, 10+100, f.LongestPassMs, 0.01)
	require.InDelta(t, 10+110.0/2, f.MeanPassMs, 0.01)
}
