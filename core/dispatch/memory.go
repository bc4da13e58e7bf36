package dispatch

import "time"

// tokensAt returns the KV-cache memory, in tokens, that the job holds at the
// i-th endpoint of the placement; the receiver is number 0.
func (p *Placement) tokensAt(job *Job, i int) int {
	if i > 0 {
		if i <= len(p.Shares) {
			return p.Shares[i-1]
		}
		return 0
	}
	heldByHelpers := 0
	for _, tokens := range p.Shares {
		heldByHelpers += tokens
	}
	return max(0, job.PromptTokens-heldByHelpers) + job.AnswerTokens
}

// oversize reports whether the job exceeds the memory that any single engine of
// the pool has for placements, and so needs several engines.
func (d *Dispatcher) oversize(job *Job, pool []*endpoint) bool {
	for _, e := range pool {
		if job.PromptTokens+job.AnswerTokens <= int(float64(e.engine.MemoryTokens)*d.cfg.MemoryShare) {
			return false
		}
	}
	return true
}

// tooLarge reports whether the job exceeds the memory of all engines of its service
// that may share it, including those in back-off, which will be used again.
func (d *Dispatcher) tooLarge(job *Job) bool {
	total := 0
	pool := d.pools[job.Service]
	for _, e := range pool[:min(len(pool), d.cfg.MaxPrefillEngines)] {
		total += int(float64(e.engine.MemoryTokens) * d.cfg.MemoryShare)
	}
	return job.PromptTokens+job.AnswerTokens > total
}

// bestOversize returns the cheapest group of engines that together have the
// memory for the job.
func (d *Dispatcher) bestOversize(now time.Time, job *Job, pool []*endpoint, interactive int) (assignment, bool) {
	candidates := d.prefillCandidates(now, job, pool, interactive)
	best, found := assignment{}, false
	for k := 2; k <= min(d.cfg.MaxPrefillEngines, len(candidates)); k++ {
		c, ok := d.oversizeGroup(now, job, candidates[:k], interactive)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// oversizeGroup divides the job's memory among the engines. The receiver is the
// engine with the most free memory among those with a free slot.
func (d *Dispatcher) oversizeGroup(now time.Time, job *Job, engines []*endpoint, interactive int) (assignment, bool) {
	var c assignment
	for _, e := range engines {
		if !e.helperOnly && e.received < e.Slots && (c.receiver == nil || e.freeTokens(d.cfg.MemoryShare) > c.receiver.freeTokens(d.cfg.MemoryShare)) {
			c.receiver = e
		}
	}
	if c.receiver == nil {
		return assignment{}, false
	}
	remaining := job.PromptTokens + job.AnswerTokens
	shareTokens := max(d.cfg.ShareTokens, (job.PromptTokens+len(engines)-1)/len(engines))
	var withoutShare []*endpoint
	for _, e := range engines {
		if e == c.receiver {
			continue
		}
		share := min(shareTokens, e.freeTokens(d.cfg.MemoryShare), remaining-shareTokens)
		if share <= 0 || e.helperOnly {
			withoutShare = append(withoutShare, e)
			continue
		}
		c.helpers = append(c.helpers, e)
		c.shares = append(c.shares, share)
		remaining -= share
	}
	c.helpers = append(c.helpers, withoutShare...)
	if remaining > c.receiver.freeTokens(d.cfg.MemoryShare) {
		return assignment{}, false
	}
	d.evaluate(now, job, &c, interactive)
	return c, true
}
