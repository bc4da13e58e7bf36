package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// maxGrouped is the most of the fleet's memory that groups may take beyond the
// first one, so that the other prompts keep enough of it.
const maxGrouped = 0.3

// predictive is the policy of core/placement.
type predictive struct {
	known  [engines]*placement.Endpoint
	picker *placement.Picker
	weight float64
	admit  bool
	// maxGrouped is the most of the fleet's memory that groups may take.
	maxGrouped float64
	views      []placement.View
	sends      []sentDigest
}

func newPredictive(cfg placement.Config, weight float64, admit bool, shapes []engine.ModelConfig, rng *rand.Rand) *predictive {
	p := &predictive{picker: placement.NewPicker(cfg, rng), weight: weight, admit: admit, maxGrouped: maxGrouped}
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
	prompt.Reserved = prompt.Need()
	score := make(map[int]float64, len(open))
	rate := make(map[int]float64, len(open))
	for _, e := range open {
		v := p.known[e].View(now, &prompt)
		score[e] = placement.Score(&prompt, &v)
		rate[e] = v.Rate
	}
	order := slices.Clone(open)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(score[a], score[b]) })
	// The lead computes; the others only lend memory, the slower the better.
	members := order[1:]
	slices.SortStableFunc(members, func(a, b int) int { return cmp.Compare(rate[a], rate[b]) })
	return order
}

func (p *predictive) groupCap() float64 { return p.maxGrouped }

func (p *predictive) reserved(j *job, engine int, tokens int64) {
	p.known[engine].Reserved(strconv.Itoa(j.id), tokens)
}

func (p *predictive) sent(now time.Time, j *job, d decision) {
	prompt := p.prompt(j)
	prompt.Reserved = j.seq.Reserved
	work := p.known[d.engine].Sent(now, strconv.Itoa(j.id), &prompt, d.priority)
	p.sends = append(p.sends, sentDigest{d.engine, now, work, d.priority})
}

func (p *predictive) firstToken(now time.Time, j *job) {
	p.known[j.engine].FirstToken(now, strconv.Itoa(j.id))
}

func (p *predictive) ended(now time.Time, j *job) {
	for _, m := range j.members {
		p.known[m].Ended(strconv.Itoa(j.id))
	}
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
