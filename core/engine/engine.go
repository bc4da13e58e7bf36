// Package engine estimates processing times of an LLM inference engine from the
// cost parameters in the configuration. The package is pure.
//
// An engine runs in scheduling passes. While requests are decoding, a pass
// consists of a fixed number of steps, and each step may also prefill a bounded
// chunk of the waiting prompts; without decoding requests, a pass is a single
// step. Prefill costs a time per token plus a time per pair of a token and an
// earlier token, so the second term grows with the square of the prompt length.
package engine

import (
	"math"
	"time"
)

const (
	// pairsUnit is the number of token pairs that CostModel.PairsPerMillionMs
	// refers to.
	pairsUnit = 1e6
	// contextUnit is the number of tokens that CostModel.ContextPer1kMs
	// refers to.
	contextUnit = 1000
	// minPassMs is the shortest pass of a model, so that time in the model advances
	// whatever the cost parameters.
	minPassMs = 0.1
	// maxMs is the longest time, in milliseconds, that Duration returns.
	maxMs = 1e12
)

// CostModel holds the cost parameters of one kind of engine. Times are in
// milliseconds.
type CostModel struct {
	// Slots is the maximum number of concurrent requests of an engine.
	Slots int
	// MemoryTokens is the engine's KV cache capacity in tokens of context.
	MemoryTokens int
	// Stride is the number of steps in a pass with decoding requests.
	Stride int
	// ChunkTokens is the maximum number of prompt tokens that one step
	// prefills.
	ChunkTokens int
	// StepMs is the base time of a step.
	StepMs float64
	// PerSequenceMs is added to a step for each decoding request.
	PerSequenceMs float64
	// ContextPer1kMs is added to a step for each 1,000 tokens of context of the
	// decoding requests.
	ContextPer1kMs float64
	// PrefillTokensPerMs is the prefill rate, without the cost of token pairs.
	PrefillTokensPerMs float64
	// PairsPerMillionMs is the prefill time per million token pairs.
	PairsPerMillionMs float64
}

// Valid reports whether the parameters describe an engine: sizes and rates are
// positive, times are not negative, and all are finite.
func (c *CostModel) Valid() bool {
	for _, n := range []int{c.Slots, c.MemoryTokens, c.Stride, c.ChunkTokens} {
		if n <= 0 || n > maxCount {
			return false
		}
	}
	for _, ms := range []float64{c.StepMs, c.PerSequenceMs, c.ContextPer1kMs, c.PairsPerMillionMs} {
		if !(ms >= 0 && ms <= maxMs) {
			return false
		}
	}
	return c.PrefillTokensPerMs > 0 && c.PrefillTokensPerMs <= maxCount && !math.IsInf(c.PrefillMs(maxCount, 1), 0)
}

// maxCount is the largest number of requests, steps or tokens of a valid CostModel.
const maxCount = 1 << 31

// PrefillMs returns the prefill time of a prompt, in milliseconds, on each of the
// engines that share it in equal parts. It returns 0 if the prefill rate or the
// number of engines is not positive.
func (c *CostModel) PrefillMs(tokens, engines int) float64 {
	if c.PrefillTokensPerMs <= 0 || engines <= 0 {
		return 0
	}
	n := float64(tokens)
	totalMs := n/c.PrefillTokensPerMs + n*n/2/pairsUnit*c.PairsPerMillionMs
	return totalMs / float64(engines)
}

// PassMs returns the time of a pass in milliseconds, without prefill, for the
// number of decoding requests and their total context in tokens.
func (c *CostModel) PassMs(decoding, context int) float64 {
	if decoding == 0 {
		return c.StepMs
	}
	step := c.StepMs + float64(decoding)*c.PerSequenceMs + float64(context)/contextUnit*c.ContextPer1kMs
	return step * float64(max(1, c.Stride))
}

// Events returns the number of stream events of an answer with the given number
// of tokens: one per pass.
func (c *CostModel) Events(tokens int) int {
	stride := max(1, c.Stride)
	return (tokens + stride - 1) / stride
}

// Ms converts a duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration converts milliseconds to a duration, of some thirty years at most.
func Duration(ms float64) time.Duration {
	if !(ms < maxMs) {
		ms = maxMs
	}
	return time.Duration(max(ms, -maxMs) * float64(time.Millisecond))
}
