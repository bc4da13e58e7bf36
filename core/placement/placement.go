package placement

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Prompt is what is to be placed.
type Prompt struct {
	// Tokens is an upper bound on the prompt's length.
	Tokens int64
	// MaxTokens is the longest answer.
	MaxTokens int64
	Priority  wire.Priority
	// DelayWeight is the weight of the delay put on others.
	DelayWeight float64
}

// Need is the KV memory that the prompt takes, in tokens.
func (p Prompt) Need() int64 { return p.Tokens + p.MaxTokens }

// View is what is known of one endpoint.
type View struct {
	ID string
	// Queued is the prefill ahead, in tokens, by priority: as reported, plus
	// what was sent since.
	Queued [2]int64
	// Rate is the prefill speed in tokens a second.
	Rate float64
	// Memory is the total KV memory, in tokens.
	Memory int64
	// Cached is the part of the prompt that the endpoint is believed to have
	// in its prefix cache, in tokens.
	Cached int64
	// Waiting is the number of prompts of lower priority there.
	Waiting int
}

// Choice is the result of Pick.
type Choice struct {
	// Index is the chosen view's; -1 when none can hold the prompt.
	Index int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Pick returns the endpoint with the lowest score among those whose memory can
// hold the prompt.
func Pick(p Prompt, views []View) Choice {
	best := Choice{Index: -1}
	bestScore := 0.0
	for i := range views {
		v := &views[i]
		if v.Memory < p.Need() {
			continue
		}
		first := FirstToken(p, v)
		score := first + p.DelayWeight*delay(p, v)
		if best.Index < 0 || score < bestScore {
			best = Choice{Index: i, FirstToken: seconds(first)}
			bestScore = score
		}
	}
	return best
}

// FirstToken predicts the time to the prompt's first token, in seconds.
func FirstToken(p Prompt, v *View) float64 {
	ahead := v.Queued[wire.PriorityHigh]
	if p.Priority == wire.PriorityLow {
		ahead += v.Queued[wire.PriorityLow]
	}
	return float64(ahead+p.Tokens-v.Cached) / v.Rate
}

// delay is what the prompt adds to the waits of the prompts of lower priority,
// in seconds.
func delay(p Prompt, v *View) float64 {
	if p.Priority == wire.PriorityLow {
		return 0
	}
	return float64(v.Waiting) * float64(p.Tokens-v.Cached) / v.Rate
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
