package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	engines = 20
	// fleetSeed seeds the engines' parameters, which are the same in all cells.
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
	// typicalRunning is the number of running sequences per engine that the
	// calculation of the fleet's capacity assumes.
	typicalRunning = 8
	// maxRateError is the largest ratio between an engine's reported and its
	// true prefill rate, in either direction.
	maxRateError = 1.3
)

// fleetConfigs returns the engines' parameters: prefill rates evenly spaced on
// a logarithmic scale, with memory and decode steps drawn independently of
// them.
func fleetConfigs(priorities bool) []engine.ModelConfig {
	rng := rand.New(rand.NewPCG(fleetSeed, 0))
	configs := make([]engine.ModelConfig, engines)
	memory := rng.Perm(engines)
	step := rng.Perm(engines)
	for i := range configs {
		s := fastestStep + time.Duration(step[i])*(slowestStep-fastestStep)/(engines-1)
		configs[i] = engine.ModelConfig{
			MemoryTokens:       smallestMemory + int64(memory[i])*(largestMemory-smallestMemory)/(engines-1),
			PrefillRate:        slowestRate * math.Pow(fastestRate/slowestRate, float64(i)/(engines-1)),
			DecodeStep:         s,
			DecodePerSequence:  time.Duration(perSequenceShare * float64(s)),
			PrefillChunkTokens: pieceTokens,
			PriorityScheduling: priorities,
		}
	}
	return configs
}

// prefillCapacity is the prefill rate of the fleet with typicalRunning decodes
// on each engine, in tokens per second.
func prefillCapacity(configs []engine.ModelConfig) float64 {
	sum := 0.0
	for _, c := range configs {
		piece := float64(c.PrefillChunkTokens) / c.PrefillRate
		decode := c.DecodeStep + typicalRunning*c.DecodePerSequence
		sum += float64(c.PrefillChunkTokens) / (piece + decode.Seconds())
	}
	return sum
}
