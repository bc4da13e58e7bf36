package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// predictive is the policy of core/placement.
type predictive struct {
	known  [engines]*placement.Endpoint
	picker *placement.Picker
	weight float64
	admit  bool
	views  []placement.View
	sends  []sentDigest
}

func newPredictive(cfg placement.Config, weight float64, admit bool, shapes []engine.ModelConfig, rng *rand.Rand) *predictive {
	p := &predictive{picker: placement.NewPicker(cfg, rng), weight: weight, admit: admit}
	for i, s := range shapes {
		p.known[i] = placement.NewEndpoint(cfg, strconv.Itoa(i), s.MemoryTokens, 0)
	}
	return p
}

func (p *predictive) prompt(j *job) placement.Prompt {
	return placement.Prompt{
		Tokens:      j.bound(),
		MaxTokens:   j.maxTokens,
		Priority:    j.class.Priority(),
		DelayWeight: p.weight,
		Blocks:      j.blocks,
	}
}

func (p *predictive) place(now time.Time, j *job, open []int) decision {
	prompt := p.prompt(j)
	p.views = p.views[:0]
	for _, e := range open {
		p.views = append(p.views, p.known[e].View(now, &prompt))
	}
	choice := p.picker.Pick(&prompt, p.views)
	return decision{engine: open[choice.Index], priority: choice.Priority}
}

func (p *predictive) group(now time.Time, j *job, open []int) []int {
	prompt := p.prompt(j)
	score := make(map[int]float64, len(open))
	for _, e := range open {
		v := p.known[e].View(now, &prompt)
		v.Held = 0
		score[e] = placement.Score(&prompt, &v)
	}
	order := append([]int{}, open...)
	slices.SortStableFunc(order, func(a, b int) int {
		if score[a] < score[b] {
			return -1
		}
		return 1
	})
	return order
}

func (p *predictive) sent(now time.Time, j *job, d decision) {
	prompt := p.prompt(j)
	work := p.known[d.engine].Sent(now, strconv.Itoa(j.id), &prompt, d.priority)
	p.sends = append(p.sends, sentDigest{d.engine, now, work, d.priority})
}

func (p *predictive) firstToken(now time.Time, j *job) {
	p.known[j.engine].FirstToken(now, strconv.Itoa(j.id))
}

func (p *predictive) ended(now time.Time, j *job) {
	e := p.known[j.engine]
	e.Ended(strconv.Itoa(j.id))
	if j.end > 0 && j.got > 1 && j.attempt == 1 {
		e.Answered(j.got-1, j.end-j.first)
		e.Prefixes.Observe(now, j.blocks, j.seq.Cached())
	}
}

func (p *predictive) report(now time.Time, engine int, r wire.LoadReport) {
	p.known[engine].Report(now, r)
}

func (p *predictive) cacheEvents(now time.Time, engine int, e wire.CacheEvents) {
	p.known[engine].Prefixes.Apply(now, e)
}

func (p *predictive) cacheSequence(engine int) int64 { return p.known[engine].Prefixes.Sequence() }

func (p *predictive) digest() []sentDigest {
	d := p.sends
	p.sends = nil
	return d
}

func (p *predictive) peer(sends []sentDigest) {
	for _, s := range sends {
		p.known[s.engine].PeerSent(s.at, s.work, s.priority)
	}
}
