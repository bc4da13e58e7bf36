package placement

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Prompt is what is to be placed.
type Prompt struct {
	// Tokens is an upper bound on the prompt's length.
	Tokens int64
	// MaxTokens is the longest answer.
	MaxTokens int64
	// Reserved is the part of its memory that was set aside beforehand.
	Reserved int64
	Priority wire.Priority
	// DelayWeight is the weight of the delay put on others.
	DelayWeight float64
	// Blocks are the hashes of the prompt's whole blocks, each over all of the
	// prompt before it; nil when they are not known.
	Blocks []uint64
}

// Need is the KV memory that the prompt takes beyond what was reserved, in
// tokens.
func (p *Prompt) Need() int64 { return max(0, p.Tokens+p.MaxTokens-p.Reserved) }

// View is what is known of one endpoint at the time of a placement.
type View struct {
	ID string
	// Queued is the prefill ahead, in tokens, by priority.
	Queued [2]int64
	// Rate is the prefill speed in tokens a second.
	Rate float64
	// Memory is the total KV memory, and Held the part in use, in tokens.
	Memory int64
	Held   int64
	// Cached is the part of the prompt that the endpoint is believed to have
	// in its prefix cache, in tokens.
	Cached int64
	// Waiting is the number of prompts of lower priority there.
	Waiting int
	// HighShare is the share of the prefill speed that prompts of high priority
	// take, from 0 to 1.
	HighShare float64
	// Exhausted says that a prompt of lower priority was overtaken up to its
	// bound: a prompt of high priority would be sent at the low one.
	Exhausted bool
	// TokenInterval is the time between two tokens of an answer, in seconds.
	TokenInterval float64
}

// Choice is the result of Pick.
type Choice struct {
	// Index is the chosen view's; -1 when none can hold the prompt.
	Index int
	// Priority is the level to send the prompt at.
	Priority wire.Priority
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// End is the predicted time to the last token of the longest answer.
	End time.Duration
}

// Picker chooses endpoints. It is not safe for concurrent use.
type Picker struct {
	cfg Config
	rng *rand.Rand
}

// NewPicker returns a Picker that draws from rng.
func NewPicker(cfg Config, rng *rand.Rand) *Picker { return &Picker{cfg: cfg, rng: rng} }

// Pick returns the endpoint with the lowest score among those whose memory can
// hold the prompt, without sampling and with ties to the first.
func Pick(p Prompt, views []View) Choice {
	best := Choice{Index: -1}
	bestScore := 0.0
	for i := range views {
		v := &views[i]
		if v.Memory < p.Need() {
			continue
		}
		score := Score(&p, v)
		if best.Index < 0 || score < bestScore {
			best.Index = i
			bestScore = score
		}
	}
	return best.describe(&p, views)
}

// Pick returns an endpoint whose score is within the tie margin of the lowest,
// at random, so that VMs that see the same reports do not all choose the same.
// With more views than Config.Sample it looks at a random sample of them.
func (k *Picker) Pick(p *Prompt, views []View) Choice {
	n := len(views)
	offset, stride := 0, 1
	if k.cfg.Sample > 0 && n > k.cfg.Sample {
		offset = k.rng.IntN(n)
		stride = k.stride(n)
		n = k.cfg.Sample
	}
	best := k.scan(p, views, offset, stride, n)
	if best.Index < 0 && n < len(views) {
		best = k.scan(p, views, 0, 1, len(views))
	}
	return best.describe(p, views)
}

// stride draws a step that visits all n views before it repeats one.
func (k *Picker) stride(n int) int {
	for {
		s := 1 + k.rng.IntN(n-1)
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// scan scores n views from offset on and draws among the near-best.
func (k *Picker) scan(p *Prompt, views []View, offset, stride, n int) Choice {
	best := Choice{Index: -1}
	bestScore, bestKey := 0.0, 0.0
	for j := range n {
		i := (offset + j*stride) % len(views)
		if views[i].Memory < p.Need() {
			continue
		}
		score := Score(p, &views[i])
		if best.Index < 0 || score < bestScore {
			bestScore = score
		}
		// A random factor up to the tie margin makes near-equal scores draw.
		key := score * (1 + k.cfg.TieMargin*k.rng.Float64())
		if best.Index < 0 || key < bestKey {
			best.Index, bestKey = i, key
		}
	}
	return best
}

// describe fills in the predictions for the chosen view.
func (c Choice) describe(p *Prompt, views []View) Choice {
	if c.Index < 0 {
		return c
	}
	v := &views[c.Index]
	first := FirstToken(p, v)
	c.Priority = sendPriority(p, v)
	c.FirstToken = seconds(first)
	c.End = seconds(first + float64(p.MaxTokens)*v.TokenInterval)
	return c
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
