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

// maxGroupShare is the largest share of the fleet's memory that groups may hold
// together, so that enough is left for other prompts. A group that is alone is
// not limited.
const maxGroupShare = 0.3

// minNoticeTokens is the smallest prefill, in tokens, that is announced to
// peers immediately rather than with the next digest.
const minNoticeTokens = 1 << 10

// predictive is the placement policy of core/placement.
type predictive struct {
	endpoints   [engines]*placement.Endpoint
	picker      *placement.Picker
	delayWeight float64
	// admission decides whether prompts are admitted; nil admits all.
	admission *admission.Controller
	// maxGroupShare is the largest share of the fleet's memory that groups may
	// hold together.
	maxGroupShare float64
	headroomShare float64
	views         []placement.View
	// noticeQueue and digestQueue hold the records to send to peers: in an
	// immediate notice, and in the next digest.
	noticeQueue []sendRecord
	digestQueue []sendRecord
}

func newPredictive(cfg placement.Config, weight float64, admit *admission.Controller, shapes []engine.ModelConfig, rng *rand.Rand) *predictive {
	p := &predictive{picker: placement.NewPicker(cfg, rng), delayWeight: weight, admission: admit, maxGroupShare: maxGroupShare, headroomShare: cfg.Headroom}
	for i, s := range shapes {
		p.endpoints[i] = placement.NewEndpoint(cfg, strconv.Itoa(i), s.MemoryTokens, 0)
	}
	return p
}

func (p *predictive) prompt(j *job) placement.Prompt {
	return placement.Prompt{
		Tokens:      j.tokenBound(),
		MaxTokens:   j.maxTokens,
		Priority:    j.class.Priority(),
		DelayWeight: p.delayWeight,
		Blocks:      j.blocks,
	}
}

func (p *predictive) admit(now time.Time, j *job, candidates []int, waiting int64) bool {
	if p.admission == nil {
		return true
	}
	prompt := p.prompt(j)
	if j.class == Oversize {
		prompt.Reserved = prompt.Need()
	}
	p.fillViews(now, &prompt, candidates)
	choice := p.picker.Pick(&prompt, p.views)
	predicted := admission.Prediction{FirstToken: choice.FirstToken, DecodeTime: choice.End - choice.FirstToken}
	if prompt.Priority == wire.PriorityLow {
		predicted.FirstToken += placement.Backlog(waiting, p.views)
	}
	j.predicted = predicted.FirstToken
	return p.admission.Decide(now, admission.Request{
		Organisation: strconv.Itoa(j.organisation),
		Weight:       1,
		Tokens:       j.tokenBound() + j.maxTokens,
		Remaining:    j.deadline - j.arrival,
		Priority:     j.class.Priority(),
	}, predicted).Admitted
}

// fillViews sets p.views to the views of the candidate engines.
func (p *predictive) fillViews(now time.Time, prompt *placement.Prompt, candidates []int) {
	p.views = p.views[:0]
	for _, e := range candidates {
		p.views = append(p.views, p.endpoints[e].View(now, prompt))
	}
}

func (p *predictive) place(now time.Time, j *job, candidates []int) decision {
	prompt := p.prompt(j)
	p.fillViews(now, &prompt, candidates)
	choice := p.picker.Pick(&prompt, p.views)
	return decision{engine: candidates[choice.Index], priority: choice.Priority}
}

func (p *predictive) rankGroup(now time.Time, j *job, candidates []int) []int {
	prompt := p.prompt(j)
	prompt.Reserved = prompt.Need()
	score := make(map[int]float64, len(candidates))
	rate := make(map[int]float64, len(candidates))
	for _, e := range candidates {
		v := p.endpoints[e].View(now, &prompt)
		score[e] = placement.Score(&prompt, &v)
		rate[e] = v.Rate
	}
	order := slices.Clone(candidates)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(score[a], score[b]) })
	// Only the lead computes. The other members only provide memory, so the
	// slowest engines are preferred.
	members := order[1:]
	slices.SortStableFunc(members, func(a, b int) int { return cmp.Compare(rate[a], rate[b]) })
	return order
}

func (p *predictive) headroom() float64 { return p.headroomShare }

func (p *predictive) heldMemory(now time.Time, engine int) int64 {
	var none placement.Prompt
	return p.endpoints[engine].View(now, &none).Held
}

func (p *predictive) groupShareLimit() float64 { return p.maxGroupShare }

func (p *predictive) recordReserved(now time.Time, j *job, engine int, tokens int64) {
	p.digestQueue = append(p.digestQueue, sendRecord{engine: engine, at: now, need: tokens})
	p.endpoints[engine].Reserved(now, strconv.Itoa(j.id), tokens)
}

func (p *predictive) recordSent(now time.Time, j *job, d decision) {
	prompt := p.prompt(j)
	prompt.Reserved = j.seq.Reserved
	work := p.endpoints[d.engine].Sent(now, strconv.Itoa(j.id), &prompt, d.priority)
	sent := sendRecord{d.engine, now, work, prompt.Need(), d.priority}
	if work >= minNoticeTokens {
		p.noticeQueue = append(p.noticeQueue, sent)
		return
	}
	p.digestQueue = append(p.digestQueue, sent)
}

func (p *predictive) recordFirstToken(now time.Time, j *job) {
	p.endpoints[j.engine].FirstToken(now, strconv.Itoa(j.id))
	if p.admission != nil && j.attempt == 1 && j.class != Oversize {
		p.admission.ObserveFirstToken(j.class.Priority(), j.predicted, j.firstTokenAt-j.arrival)
	}
}

func (p *predictive) recordEnd(now time.Time, j *job) {
	for _, m := range j.members {
		p.recordEndAt(now, j, m)
	}
	p.recordEndAt(now, j, j.engine)
	e := p.endpoints[j.engine]
	if j.endedAt > 0 && j.delivered > 1 && j.attempt == 1 {
		e.ObserveAnswer(j.delivered-1, j.endedAt-j.firstTokenAt)
		if p.admission != nil {
			p.admission.ObserveAnswer(j.answerTokens, j.maxTokens)
		}
		e.Prefixes.Observe(now, j.blocks, j.seq.Cached())
	}
}

func (p *predictive) recordEndAt(now time.Time, j *job, engine int) {
	freed := p.endpoints[engine].Ended(now, strconv.Itoa(j.id))
	p.digestQueue = append(p.digestQueue, sendRecord{engine: engine, at: now, need: -freed})
}

func (p *predictive) applyReport(now time.Time, engine int, r wire.LoadReport) {
	p.endpoints[engine].Report(now, r)
}

func (p *predictive) applyCacheEvents(now time.Time, engine int, e wire.CacheEvents) {
	p.endpoints[engine].Prefixes.Apply(now, e)
}

func (p *predictive) lastCacheSequence(engine int) int64 {
	return p.endpoints[engine].Prefixes.Sequence()
}

func (p *predictive) takeNotices() []sendRecord {
	d := p.noticeQueue
	p.noticeQueue = nil
	return d
}

func (p *predictive) takeDigest() []sendRecord {
	d := p.digestQueue
	p.digestQueue = nil
	return d
}

func (p *predictive) applyPeerSends(sends []sendRecord) {
	for _, s := range sends {
		p.endpoints[s.engine].PeerSent(s.at, s.work, s.need, s.priority)
	}
}
