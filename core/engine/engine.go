// Package engine computes how long a model engine takes, from the figures that
// the configuration gives of it. The package is pure.
//
// An engine works in passes. A pass with writers runs a fixed number of steps,
// and each step may also read a bounded piece of waiting prompts; an engine
// without writers reads step by step. Reading costs a time per token and a time
// per pair of a token and any earlier one, so that long prompts cost the square
// of their length.
package engine

import "time"

const (
	// pairsUnit is the number of pairs that Figures.PairsPerMillion counts by.
	pairsUnit = 1e6
	// contextUnit is the number of tokens that Figures.ContextPer1k counts by.
	contextUnit = 1000
)

// Figures describe one kind of engine. Times are in milliseconds.
type Figures struct {
	// Slots is the number of requests that an engine works on at once.
	Slots int
	// MemoryTokens is how many tokens of context the engine holds.
	MemoryTokens int
	// Stride is the number of steps of a pass that has writers.
	Stride int
	// ChunkTokens bounds what one step reads.
	ChunkTokens int
	// StepMs is the time of a step by itself.
	StepMs float64
	// PerWriterMs is added to a step for each writer.
	PerWriterMs float64
	// ContextPer1kMs is added to a step for each 1,000 tokens of context of the
	// writers.
	ContextPer1kMs float64
	// ReadTokensPerMs is the rate of reading.
	ReadTokensPerMs float64
	// PairsPerMillionMs is the time of a million pairs of tokens.
	PairsPerMillionMs float64
}

// ReadMs is the time in which each of the given number of engines reads its part
// of a prompt.
func (f *Figures) ReadMs(tokens, readers int) float64 {
	if f.ReadTokensPerMs <= 0 || readers <= 0 {
		return 0
	}
	n := float64(tokens)
	whole := n/f.ReadTokensPerMs + n*n/2/pairsUnit*f.PairsPerMillionMs
	return whole / float64(readers)
}

// PassMs is the time of a pass with the writers and their context in tokens,
// beside what it reads.
func (f *Figures) PassMs(writers, context int) float64 {
	if writers == 0 {
		return f.StepMs
	}
	step := f.StepMs + float64(writers)*f.PerWriterMs + float64(context)/contextUnit*f.ContextPer1kMs
	return step * float64(max(1, f.Stride))
}

// Events is the number of events in which an answer of so many tokens comes:
// one a pass.
func (f *Figures) Events(answer int) int {
	stride := max(1, f.Stride)
	return (answer + stride - 1) / stride
}

// Ms is a time in the unit of the figures.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Duration is the time of so many ms.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
