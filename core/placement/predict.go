package placement

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// maxSeconds bounds predictions, so that they fit in a time.Duration.
	maxSeconds = 1e6
	// maxHighShare bounds the share of high-priority prompts, so that the
	// predicted rate for low-priority prompts does not approach zero.
	maxHighShare = 0.6
	// memoryHeadroom is the fraction of an endpoint's memory that low-priority
	// prompts leave to high-priority ones, provided that other endpoints can take
	// the low-priority prompts.
	memoryHeadroom = 0.1
	// prefillChunkTokens is the most prefill that engines compute before they
	// check for higher-priority work.
	prefillChunkTokens = 2048
	// decodeHoldSeconds is the assumed time for which a sequence holds its memory
	// while it is decoded.
	decodeHoldSeconds = 4
)

// Score returns the prompt's predicted time to first token plus the weighted
// delay that it adds to lower-priority prompts at the endpoint, in seconds.
func Score(p *Prompt, v *View) float64 {
	return FirstToken(p, v) + p.DelayWeight*addedDelay(p, v)
}

// FirstToken predicts the prompt's time to first token, in seconds.
func FirstToken(p *Prompt, v *View) float64 {
	own := max(1, p.Tokens-v.Cached)
	wait := memoryWait(p, v)
	if sendPriority(p, v) == wire.PriorityHigh {
		return wait + float64(v.Queued[wire.PriorityHigh]+own+v.chunkWaitTokens())/v.Rate
	}
	ahead := v.Queued[wire.PriorityHigh] + v.Queued[wire.PriorityLow]
	return max(wait, float64(ahead)/v.lowPriorityRate()) + float64(own)/v.lowPriorityRate()
}

// memoryWait predicts how long the prompt waits for KV memory, in seconds: a
// sequence frees its memory after prefill and decode. Low-priority prompts leave
// headroom for high-priority ones.
func memoryWait(p *Prompt, v *View) float64 {
	usable := v.Memory
	if p.Priority == wire.PriorityLow {
		usable -= int64(memoryHeadroom * float64(v.Memory))
	}
	shortfall := p.Need() - (usable - v.Held)
	if shortfall <= 0 || v.Held == 0 {
		return 0
	}
	return decodeHoldSeconds + float64(shortfall)/v.lowPriorityRate()
}

// chunkWaitTokens returns the low-priority prefill, in tokens, for which a
// high-priority prompt waits when low-priority prefill is queued: half a chunk on
// average.
func (v *View) chunkWaitTokens() int64 {
	if v.Queued[wire.PriorityLow] == 0 {
		return 0
	}
	return prefillChunkTokens / 2
}

// lowPriorityRate returns the prefill rate that remains for low-priority prompts,
// in tokens per second: high-priority prompts that arrive later overtake them.
func (v *View) lowPriorityRate() float64 { return v.Rate * (1 - min(v.HighShare, maxHighShare)) }

// sendPriority returns the priority at which the prompt would be sent.
func sendPriority(p *Prompt, v *View) wire.Priority {
	if v.OvertakeExhausted {
		return wire.PriorityLow
	}
	return p.Priority
}

// addedDelay returns the total delay that the prompt adds to the waiting
// low-priority prompts, in seconds.
func addedDelay(p *Prompt, v *View) float64 {
	if sendPriority(p, v) == wire.PriorityLow {
		return 0
	}
	return float64(v.WaitingLow) * float64(max(1, p.Tokens-v.Cached)) / v.Rate
}

// Backlog predicts how long the endpoints together take to compute low-priority
// prefill, in tokens, that is queued at the VMs.
func Backlog(tokens int64, views []View) time.Duration {
	totalRate := 0.0
	for i := range views {
		totalRate += views[i].lowPriorityRate()
	}
	if tokens <= 0 || totalRate <= 0 {
		return 0
	}
	return seconds(float64(tokens) / totalRate)
}
