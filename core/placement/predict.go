package placement

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// maxSeconds bounds a prediction, so that it fits a time.Duration.
	maxSeconds = 1e6
	// maxHighShare keeps the rate that is left to prompts of low priority from
	// vanishing.
	maxHighShare = 0.6
	// memoryHeadroom is the share of the memory that prompts of low priority
	// leave to those of high priority, where others can take them.
	memoryHeadroom = 0.1
	// pieceTokens is the most prefill that engines compute without looking for
	// more urgent work.
	pieceTokens = 2048
	// answerPause is the time, in seconds, that a sequence holds its memory
	// while it is answered.
	answerPause = 4
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
		return wait + float64(v.Queued[wire.PriorityHigh]+own+v.piece())/v.Rate
	}
	ahead := v.Queued[wire.PriorityHigh] + v.Queued[wire.PriorityLow]
	return max(wait, float64(ahead)/v.left()) + float64(own)/v.left()
}

// memoryWait predicts how long the prompt waits for KV memory: a sequence gives
// its memory back once it was computed and answered. Prompts of low priority
// leave headroom for those of high priority.
func memoryWait(p *Prompt, v *View) float64 {
	usable := v.Memory
	if p.Priority == wire.PriorityLow {
		usable -= int64(memoryHeadroom * float64(v.Memory))
	}
	missing := p.Need() - (usable - v.Held)
	if missing <= 0 || v.Held == 0 {
		return 0
	}
	return answerPause + float64(missing)/v.left()
}

// piece is the prefill, in tokens, that a prompt of high priority waits for
// where one of low priority is being computed: half a piece on average.
func (v *View) piece() int64 {
	if v.Queued[wire.PriorityLow] == 0 {
		return 0
	}
	return pieceTokens / 2
}

// left is the prefill speed that is left to prompts of low priority, in tokens
// a second: those of high priority still to come will overtake them.
func (v *View) left() float64 { return v.Rate * (1 - min(v.HighShare, maxHighShare)) }

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

// Backlog predicts how long prefill of low priority that waits at the VMs takes
// to be computed by the endpoints together.
func Backlog(tokens int64, views []View) time.Duration {
	left := 0.0
	for i := range views {
		left += views[i].left()
	}
	if tokens <= 0 || left <= 0 {
		return 0
	}
	return seconds(float64(tokens) / left)
}
