package placement

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Prompt has the properties of a prompt that placement uses.
type Prompt struct {
	// Tokens is an upper bound on the prompt's length.
	Tokens int64
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int64
	// Reserved is the part of its KV memory that was reserved beforehand, in
	// tokens.
	Reserved int64
	Priority wire.Priority
	// DelayWeight is the weight of the delay added to lower-priority prompts.
	DelayWeight float64
	// Blocks are the hashes of the prompt's complete blocks, each hash covering
	// the prompt from its start to the end of the block; nil when unknown.
	Blocks []uint64
}

// Need returns the KV memory that the prompt takes in addition to its
// reservation, in tokens.
func (p *Prompt) Need() int64 { return max(0, p.Tokens+p.MaxTokens-p.Reserved) }

// View is the state of one endpoint at the time of a placement.
type View struct {
	ID string
	// Queued is the prefill backlog by priority, in tokens.
	Queued [2]int64
	// Rate is the prefill rate in tokens per second.
	Rate float64
	// Memory is the total KV memory, and Held the part in use or waited for, in
	// tokens.
	Memory int64
	Held   int64
	// Cached is the part of the prompt that is predicted to be in the endpoint's
	// prefix cache, in tokens.
	Cached int64
	// WaitingLow is the number of low-priority prompts waiting at the endpoint.
	WaitingLow int
	// HighShare is the fraction of the prefill rate that high-priority prompts
	// use, from 0 to 1.
	HighShare float64
	// OvertakeExhausted is set when a low-priority prompt has been overtaken up to its
	// bound: a high-priority prompt would be sent at low priority.
	OvertakeExhausted bool
	// TokenInterval is the average time between two tokens of an answer, in
	// seconds.
	TokenInterval float64
}

// Choice is the result of Pick.
type Choice struct {
	// Index is the index of the chosen view; -1 when no endpoint can hold the
	// prompt.
	Index int
	// Priority is the priority at which to send the prompt.
	Priority wire.Priority
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// End is the predicted time to the last token of an answer of MaxTokens.
	End time.Duration
}

// Picker chooses endpoints. It is not safe for concurrent use.
type Picker struct {
	cfg Config
	rng *rand.Rand
}

// NewPicker returns a Picker that draws from rng.
func NewPicker(cfg Config, rng *rand.Rand) *Picker { return &Picker{cfg: cfg, rng: rng} }

// Pick chooses the view with the lowest score among those whose memory can hold
// the prompt. It scores all views; of equal scores the first wins.
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
	return best.predict(&p, views)
}

// Pick chooses at random among the views whose score is within the tie margin of
// the lowest, so that VMs with the same load reports do not all choose the same
// endpoint. With more views than Config.Sample it scores a random sample, and all
// of them when none of the sample can hold the prompt.
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
	return best.predict(p, views)
}

// stride draws a step coprime to n, so that n steps visit every view once.
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

// scan scores n views, starting at offset and advancing by stride, and chooses at
// random among those within the tie margin.
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
		// A random factor of up to the tie margin makes the choice among
		// near-equal scores random.
		key := score * (1 + k.cfg.TieMargin*k.rng.Float64())
		if best.Index < 0 || key < bestKey {
			best.Index, bestKey = i, key
		}
	}
	return best
}

// predict fills in the priority and the predictions for the chosen view.
func (c Choice) predict(p *Prompt, views []View) Choice {
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
