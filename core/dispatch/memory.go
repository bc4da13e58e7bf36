package dispatch

import "time"

// memory is what the i-th endpoint of a placement, the receiver first, holds of
// the job.
func (p *Placement) memory(job *Job, i int) int {
	if i > 0 {
		if i <= len(p.Shares) {
			return p.Shares[i-1]
		}
		return 0
	}
	held := 0
	for _, tokens := range p.Shares {
		held += tokens
	}
	return max(0, job.Prompt-held) + job.Answer
}

// oversize reports whether the job needs the memory of several engines: more
// than one engine has, or more than any has left.
func (d *Dispatcher) oversize(job *Job, pool []*endpoint) bool {
	for _, e := range pool {
		if job.Prompt+job.Answer <= int(float64(e.engine.MemoryTokens)*d.cfg.MemoryShare) {
			return false
		}
	}
	return true
}

// tooLarge reports whether the job needs more than all its engines have.
func (d *Dispatcher) tooLarge(job *Job, pool []*endpoint) bool {
	total := 0
	for _, e := range pool[:min(len(pool), d.cfg.MaxReaders)] {
		total += int(float64(e.engine.MemoryTokens) * d.cfg.MemoryShare)
	}
	return job.Prompt+job.Answer > total
}

// bestOversize weighs the groups that have the memory for the job together.
func (d *Dispatcher) bestOversize(now time.Time, job *Job, pool []*endpoint, interactive map[string]bool) (choice, bool) {
	readers := d.readers(now, job, pool, interactive)
	best, found := choice{}, false
	for k := 2; k <= min(d.cfg.MaxReaders, len(readers)); k++ {
		c, ok := d.oversizeGroup(now, job, readers[:k], interactive)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// oversizeGroup shares the job's memory out among the readers. The one with the
// most room of those that have a slot receives it.
func (d *Dispatcher) oversizeGroup(now time.Time, job *Job, readers []*endpoint, interactive map[string]bool) (choice, bool) {
	var c choice
	for _, e := range readers {
		if e.received < e.Slots && (c.receiver == nil || e.room(d.cfg.MemoryShare) > c.receiver.room(d.cfg.MemoryShare)) {
			c.receiver = e
		}
	}
	if c.receiver == nil {
		return choice{}, false
	}
	left := job.Prompt + job.Answer
	each := max(d.cfg.ShareTokens, (job.Prompt+len(readers)-1)/len(readers))
	var rest []*endpoint
	for _, e := range readers {
		if e == c.receiver {
			continue
		}
		share := min(each, e.room(d.cfg.MemoryShare), left-each)
		if share <= 0 {
			rest = append(rest, e)
			continue
		}
		c.helpers = append(c.helpers, e)
		c.shares = append(c.shares, share)
		left -= share
	}
	c.helpers = append(c.helpers, rest...)
	if left > c.receiver.room(d.cfg.MemoryShare) {
		return choice{}, false
	}
	d.weigh(now, job, &c, interactive)
	return c, true
}
