package placement

import "cornelsaddle.example/cornelsaddle/core/wire"

const (
	// maxSeconds bounds a prediction, so that it fits a time.Duration.
	maxSeconds = 1e6
	// maxHighShare keeps the rate that is left to prompts of low priority from
	// vanishing.
	maxHighShare = 0.9
)

// Score is the prompt's own predicted first token plus the weighted delay that
// it puts on the prompts of lower priority there, in seconds.
func Score(p *Prompt, v *View) float64 {
	return FirstToken(p, v) + p.DelayWeight*delay(p, v)
}

// FirstToken predicts the time to the prompt's first token, in seconds.
func FirstToken(p *Prompt, v *View) float64 {
	own := max(1, p.Tokens-v.Cached)
	wait := memoryWait(p, v)
	if sendPriority(p, v) == wire.PriorityHigh {
		return wait + float64(v.Queued[wire.PriorityHigh]+own)/v.Rate
	}
	ahead := v.Queued[wire.PriorityHigh] + v.Queued[wire.PriorityLow]
	// High-priority prompts still to come will overtake this one.
	left := v.Rate * (1 - min(v.HighShare, maxHighShare))
	return wait + float64(ahead+own)/left
}

// memoryWait predicts how long the prompt waits for KV memory: running
// sequences give it back about as fast as prefill takes it.
func memoryWait(p *Prompt, v *View) float64 {
	missing := p.Need() - (v.Memory - v.Held)
	if missing <= 0 {
		return 0
	}
	return float64(missing) / v.Rate
}

// sendPriority is the level that the prompt would be sent at.
func sendPriority(p *Prompt, v *View) wire.Priority {
	if v.Exhausted {
		return wire.PriorityLow
	}
	return p.Priority
}

// delay is what the prompt adds to the waits of the prompts of lower priority,
// in seconds.
func delay(p *Prompt, v *View) float64 {
	if sendPriority(p, v) == wire.PriorityLow {
		return 0
	}
	return float64(v.Waiting) * float64(max(1, p.Tokens-v.Cached)) / v.Rate
}
