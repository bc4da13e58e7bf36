package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	engines = 20
	// fleetSeed draws the engines' shapes, the same for all cells.
	fleetSeed = 17

	slowestRate    = 10_000
	fastestRate    = 60_000
	smallestMemory = 160_000
	largestMemory  = 480_000
	pieceTokens    = 2048
	fastestStep    = 8 * time.Millisecond
	slowestStep    = 24 * time.Millisecond
	// perSequenceShare is the share of a decode step that each sequence adds.
	perSequenceShare = 0.02
	// typicalRunning is the number of running sequences for which the fleet's
	// capacity is worked out.
	typicalRunning = 8
	// maxRateError is the most by which an engine's own account of its speed is
	// off, as a ratio.
	maxRateError = 1.3
)

// fleetConfigs returns the engines: speeds spread evenly on a logarithmic scale,
// memory and decode steps drawn independently of them.
func fleetConfigs(priorities bool) []engine.ModelConfig {
	rng := rand.New(rand.NewPCG(fleetSeed, 0))
	configs := make([]engine.ModelConfig, engines)
	memory := rng.Perm(engines)
	step := rng.Perm(engines)
	for i := range configs {
		s := fastestStep + time.Duration(step[i])*(slowestStep-fastestStep)/(engines-1)
		configs[i] = engine.ModelConfig{
			MemoryTokens:      smallestMemory + int64(memory[i])*(largestMemory-smallestMemory)/(engines-1),
			PrefillRate:       slowestRate * math.Pow(fastestRate/slowestRate, float64(i)/(engines-1)),
			DecodeStep:        s,
			DecodePerSequence: time.Duration(perSequenceShare * float64(s)),
			PieceTokens:       pieceTokens,
			Priorities:        priorities,
		}
	}
	return configs
}

// prefillCapacity is the prefill speed of the fleet with running decodes, in tokens a
// second.
func prefillCapacity(configs []engine.ModelConfig) float64 {
	sum := 0.0
	for _, c := range configs {
		piece := float64(c.PieceTokens) / c.PrefillRate
		decode := c.DecodeStep + typicalRunning*c.DecodePerSequence
		sum += float64(c.PieceTokens) / (piece + decode.Seconds())
	}
	return sum
}
