package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornelsaddle.example/cornelsaddle/core/admission"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// maxGrouped is the most of the fleet's memory that groups may take beyond the
// first one, so that the other prompts keep enough of it.
const maxGrouped = 0.3

// noticeTokens is the prefill from which on peers are told of a prompt at once,
// and not with the next digest.
const noticeTokens = 1 << 10

// predictive is the policy of core/placement.
type predictive struct {
	known  [engines]*placement.Endpoint
	picker *placement.Picker
	weight float64
	// admission decides on prompts; nil to take all.
	admission *admission.Controller
	// maxGrouped is the most of the fleet's memory that groups may take.
	maxGrouped float64
	room       float64
	views      []placement.View
	// urgent and sends are what peers were not told yet.
	urgent []sentDigest
	sends  []sentDigest
}

func newPredictive(cfg placement.Config, weight float64, admit *admission.Controller, shapes []engine.ModelConfig, rng *rand.Rand) *predictive {
	p := &predictive{picker: placement.NewPicker(cfg, rng), weight: weight, admission: admit, maxGrouped: maxGrouped, room: cfg.Headroom}
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

func (p *predictive) admit(now time.Time, j *job, open []int, waiting int64) bool {
	if p.admission == nil {
		return true
	}
	prompt := p.prompt(j)
	if j.class == Oversize {
		prompt.Reserved = prompt.Need()
	}
	p.look(now, &prompt, open)
	choice := p.picker.Pick(&prompt, p.views)
	predicted := admission.Prediction{FirstToken: choice.FirstToken, DecodeTime: choice.End - choice.FirstToken}
	if prompt.Priority == wire.PriorityLow {
		predicted.FirstToken += placement.Backlog(waiting, p.views)
	}
	j.predicted = predicted.FirstToken
	return p.admission.Decide(now, admission.Request{
		Organisation: strconv.Itoa(j.organisation),
		Weight:       1,
		Tokens:       j.bound() + j.maxTokens,
		Remaining:    j.deadline - j.arrive,
		Priority:     j.class.Priority(),
	}, predicted).Admitted
}

// look fills the views of the open engines.
func (p *predictive) look(now time.Time, prompt *placement.Prompt, open []int) {
	p.views = p.views[:0]
	for _, e := range open {
		p.views = append(p.views, p.known[e].View(now, prompt))
	}
}

func (p *predictive) place(now time.Time, j *job, open []int) decision {
	prompt := p.prompt(j)
	p.look(now, &prompt, open)
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

func (p *predictive) headroom() float64 { return p.room }

func (p *predictive) held(now time.Time, engine int) int64 {
	var none placement.Prompt
	return p.known[engine].View(now, &none).Held
}

func (p *predictive) groupCap() float64 { return p.maxGrouped }

func (p *predictive) reserved(now time.Time, j *job, engine int, tokens int64) {
	p.sends = append(p.sends, sentDigest{engine: engine, at: now, need: tokens})
	p.known[engine].Reserved(now, strconv.Itoa(j.id), tokens)
}

func (p *predictive) sent(now time.Time, j *job, d decision) {
	prompt := p.prompt(j)
	prompt.Reserved = j.seq.Reserved
	work := p.known[d.engine].Sent(now, strconv.Itoa(j.id), &prompt, d.priority)
	sent := sentDigest{d.engine, now, work, prompt.Need(), d.priority}
	if work >= noticeTokens {
		p.urgent = append(p.urgent, sent)
		return
	}
	p.sends = append(p.sends, sent)
}

func (p *predictive) firstToken(now time.Time, j *job) {
	p.known[j.engine].FirstToken(now, strconv.Itoa(j.id))
	if p.admission != nil && j.attempt == 1 && j.class != Oversize {
		p.admission.ObserveFirstToken(j.class.Priority(), j.predicted, j.first-j.arrive)
	}
}

func (p *predictive) ended(now time.Time, j *job) {
	for _, m := range j.members {
		p.end(now, j, m)
	}
	p.end(now, j, j.engine)
	e := p.known[j.engine]
	if j.end > 0 && j.got > 1 && j.attempt == 1 {
		e.ObserveAnswer(j.got-1, j.end-j.first)
		if p.admission != nil {
			p.admission.ObserveAnswer(j.answer, j.maxTokens)
		}
		e.Prefixes.Observe(now, j.blocks, j.seq.Cached())
	}
}

func (p *predictive) end(now time.Time, j *job, engine int) {
	freed := p.known[engine].Ended(now, strconv.Itoa(j.id))
	p.sends = append(p.sends, sentDigest{engine: engine, at: now, need: -freed})
}

func (p *predictive) report(now time.Time, engine int, r wire.LoadReport) {
	p.known[engine].Report(now, r)
}

func (p *predictive) cacheEvents(now time.Time, engine int, e wire.CacheEvents) {
	p.known[engine].Prefixes.Apply(now, e)
}

func (p *predictive) cacheSequence(engine int) int64 { return p.known[engine].Prefixes.Sequence() }

func (p *predictive) notices() []sentDigest {
	d := p.urgent
	p.urgent = nil
	return d
}

func (p *predictive) digest() []sentDigest {
	d := p.sends
	p.sends = nil
	return d
}

func (p *predictive) peer(sends []sentDigest) {
	for _, s := range sends {
		p.known[s.engine].PeerSent(s.at, s.work, s.need, s.priority)
	}
}
