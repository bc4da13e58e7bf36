package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// TestGapOfTheLongestPassIsALoss checks that a prompt of little more than one pass counts
// the gap that its whole pass makes in a job that is decoding: the mean of its two passes
// is within the job's limit, the longer one is not.
func TestGapOfTheLongestPassIsALoss(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{{Name: "s", Engine: &engine.CostModel{
		Slots: 4, MemoryTokens: 10_000, Stride: 10, ChunkTokens: 100, StepMs: 1, PrefillTokensPerMs: 10,
	}}})
	d.SetEndpoints(start, []Endpoint{{ID: "e", Service: "s", Slots: 4}})
	decoding := prompt("1", 10, start)
	decoding.MaxGap = 100 * time.Millisecond
	submitAndPlace(t, d, start, decoding)
	d.FirstEvent(at(30), testKey("1"))

	long := prompt("2", 1100, at(31))
	interference, _ := d.evaluatePart(at(31), &long, d.endpoints["e"], 1, 0)
	require.InDelta(t, d.value(&decoding)*d.cfg.LateLoss, interference, 1e-9)
}
