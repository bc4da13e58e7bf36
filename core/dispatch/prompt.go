package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// choice is one way to serve a prompt.
type choice struct {
	receiver *endpoint
	helpers  []*endpoint
	// shares are the memory in tokens that the first helpers hold.
	shares []int
	// firstMs is the predicted time to the first event.
	firstMs float64
	// cost is what the choice costs in worth, to this job and to others.
	cost float64
	// harm is the part of the cost that others pay.
	harm float64
}

// decidePrompt chooses the engines that read and write a prompt, or lets it wait
// for a better time.
func (d *Dispatcher) decidePrompt(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	best, found := d.best(now, job, pool)
	if !found {
		return d.withoutRoom(now, job, pool)
	}
	worth := d.worth(job)
	if best.cost <= d.cfg.HoldShare*worth {
		return d.placeChoice(now, job, best), true
	}
	// A better choice may come while there is time left for it.
	if now.Add(fromMs(best.firstMs)).Before(job.Due) && best.harm > 0 {
		if now.Sub(job.Arrived) < job.Due.Sub(job.Arrived)/2 {
			return Decision{}, false
		}
	}
	lastChance := now.Add(fromMs(best.firstMs) + d.cfg.QueueMargin)
	if best.harm < worth*(1-d.cfg.LateLoss) || now.Before(job.Due) && best.harm < worth {
		return d.placeChoice(now, job, best), true
	}
	if lastChance.After(job.Deadline) || now.After(d.giveUpAt(job)) {
		return refuse(job, ReasonTooLate, refusedAgain), true
	}
	return Decision{}, false
}

// withoutRoom keeps a job that finds all slots or memory taken.
func (d *Dispatcher) withoutRoom(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	if d.tooLarge(job, pool) {
		return refuse(job, ReasonTooLarge, 0), true
	}
	if now.Before(d.giveUpAt(job)) {
		return Decision{}, false
	}
	return refuse(job, ReasonTooLate, refusedAgain), true
}

// fitting lists the engines with a free slot and enough memory.
func (d *Dispatcher) fitting(job *Job, pool []*endpoint) []*endpoint {
	need := job.Prompt + job.Answer
	var fit []*endpoint
	for _, e := range pool {
		if e.received < e.Slots && need <= e.room(d.cfg.MemoryShare) {
			fit = append(fit, e)
		}
	}
	return fit
}

func (d *Dispatcher) placeChoice(now time.Time, job *Job, c choice) Decision {
	p := Placement{Job: job.ID, Endpoint: c.receiver.ID, Shares: c.shares}
	for _, h := range c.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	decision := d.place(now, job, p)
	d.placed[job.ID].predicted = now.Add(fromMs(c.firstMs))
	return decision
}

// best weighs each receiver and number of readers.
func (d *Dispatcher) best(now time.Time, job *Job, pool []*endpoint) (choice, bool) {
	interactive := d.interactive(now, job.Service, len(d.pools[job.Service]))
	if d.oversize(job, pool) {
		return d.bestOversize(now, job, interactive)
	}
	fitting := d.fitting(job, pool)
	if len(fitting) == 0 {
		return choice{}, false
	}
	if d.light(job) {
		return d.bestLight(now, job, fitting, interactive), true
	}
	return d.bestLong(now, job, fitting, interactive), true
}

// interactive is the set of engines that are kept free of long reading: as many
// as the light jobs need, the first of the pool in the order of names.
func (d *Dispatcher) interactive(now time.Time, service string, pool int) map[string]bool {
	active := 0.0
	for _, p := range d.placed {
		if p.light && p.Service == service {
			active++
		}
	}
	for _, j := range d.queue {
		if j.Service == service && d.light(j) {
			active++
		}
	}
	arriving := d.rate(service).now(now, d.cfg.RateWindow)
	want := (active + arriving*0.2) / d.cfg.WritersPerEngine
	n := min(int(math.Ceil(want)), pool)
	set := make(map[string]bool, n)
	for _, e := range d.pools[service][:n] {
		set[e.ID] = true
	}
	return set
}

func (d *Dispatcher) bestLight(now time.Time, job *Job, fitting []*endpoint, interactive map[string]bool) choice {
	best := choice{cost: math.Inf(1)}
	for _, e := range fitting {
		c := choice{receiver: e}
		readMs := e.engine.ReadMs(job.Prompt, 1)
		d.weigh(now, job, &c, readMs, interactive)
		if !interactive[e.ID] {
			c.cost += d.cfg.ForeignSetWeight * d.worth(job)
		}
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

// bestLong tries each number of readers, the engines with the least to read
// first.
func (d *Dispatcher) bestLong(now time.Time, job *Job, fitting []*endpoint, interactive map[string]bool) choice {
	readers := d.readers(now, job, interactive)
	best := choice{cost: math.Inf(1)}
	for k := 1; k <= min(d.cfg.MaxReaders, len(readers)); k++ {
		c, ok := d.group(now, job, fitting, readers, interactive, k)
		if ok && c.cost < best.cost {
			best = c
		}
	}
	if best.receiver == nil {
		c := choice{receiver: fitting[0]}
		d.weigh(now, job, &c, c.receiver.engine.ReadMs(job.Prompt, 1), interactive)
		return c
	}
	return best
}

// readers lists the usable engines, those that are not kept for light jobs
// first, by what they still have to read.
func (d *Dispatcher) readers(now time.Time, job *Job, interactive map[string]bool) []*endpoint {
	readers := d.candidates(now, job)
	slices.SortStableFunc(readers, func(a, b *endpoint) int {
		ia, ib := interactive[a.ID], interactive[b.ID]
		if ia != ib {
			if ib {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.readyMs(now), b.readyMs(now))
	})
	return readers
}

// readyMs is when an engine could begin to read something new.
func (e *endpoint) readyMs(now time.Time) float64 {
	return e.backlogMs(now) + e.passMs()
}

// group is the choice with k readers: the first of them that can also write
// receives the request.
func (d *Dispatcher) group(now time.Time, job *Job, fitting, readers []*endpoint, interactive map[string]bool, k int) (choice, bool) {
	chosen := readers[:k]
	i := slices.IndexFunc(chosen, func(e *endpoint) bool { return slices.Contains(fitting, e) })
	if i < 0 {
		return choice{}, false
	}
	c := choice{receiver: chosen[i]}
	for j, e := range chosen {
		if j != i {
			c.helpers = append(c.helpers, e)
		}
	}
	d.weigh(now, job, &c, c.receiver.engine.ReadMs(job.Prompt, k), interactive)
	return c, true
}

// weigh fills in the choice's prediction and cost. Each of its engines reads for
// readMs.
func (d *Dispatcher) weigh(now time.Time, job *Job, c *choice, readMs float64, interactive map[string]bool) {
	worth := d.worth(job)
	c.harm = d.harm(now, c.receiver, readMs, interactive)
	c.firstMs = c.receiver.firstMs(now, readMs)
	for _, h := range c.helpers {
		c.harm += d.harm(now, h, readMs, interactive)
		c.firstMs = max(c.firstMs, h.firstMs(now, readMs))
	}
	c.cost = c.harm + worth*d.lateness(now, job, c.firstMs)
	if gap := ms(job.Gap); gap > 0 && c.receiver.passMs()+c.receiver.backlogMs(now) > gap {
		c.cost += worth * d.cfg.LateLoss / 2
	}
}

// firstMs predicts when a part that the engine reads next would be done: after
// the pass under way, and with the pass that reads it.
func (e *endpoint) firstMs(now time.Time, readMs float64) float64 {
	pass := e.passMs()
	if e.writers == 0 {
		return e.backlogMs(now) + readMs + pass
	}
	return e.backlogMs(now) + readMs + pass*1.5
}

// lateness is the share of a job's worth that is lost with a first event after
// so long.
func (d *Dispatcher) lateness(now time.Time, job *Job, firstMs float64) float64 {
	if job.Due.IsZero() {
		return 0
	}
	goal := ms(job.Due.Sub(job.Arrived))
	total := ms(now.Sub(job.Arrived)) + firstMs
	share := total / max(1, goal)
	loss := d.cfg.DelayWeight * min(1, share)
	if share > d.cfg.GoalShare {
		loss += d.cfg.LateLoss * min(1, (share-d.cfg.GoalShare)/(1-d.cfg.GoalShare))
	}
	return loss
}

// harm is what readMs more of reading costs those who are at the engine or may
// come to it.
func (d *Dispatcher) harm(now time.Time, e *endpoint, readMs float64, interactive map[string]bool) float64 {
	backlog := e.backlogMs(now)
	pass := e.passMs() + backlog + readMs
	harm := 0.0
	for _, p := range e.parts {
		if p.receiver && p.job.began {
			harm += d.pauseHarm(p.job, pass-readMs, pass)
		}
		if !p.job.began {
			harm += d.delayHarm(p.job, readMs)
		}
	}
	if interactive[e.ID] && pass > d.cfg.LightReadMs*2 {
		harm += d.worthOfArrivals(now, e.Service, len(interactive), pass)
	}
	return harm
}

// pauseHarm is what a writer loses when its next pass grows from one length to
// another.
func (d *Dispatcher) pauseHarm(p *placed, from, to float64) float64 {
	limit := ms(p.Gap) * d.cfg.GapShare
	if limit <= 0 || from > limit || to <= limit {
		return 0
	}
	return d.worth(&p.Job) * d.cfg.LateLoss
}

// delayHarm is what a job that is still being read loses when it is delayed.
func (d *Dispatcher) delayHarm(p *placed, byMs float64) float64 {
	if p.Due.IsZero() || !p.predicted.Before(p.Due) {
		return 0
	}
	if p.predicted.Add(fromMs(byMs)).Before(p.Due) {
		return 0
	}
	return d.worth(&p.Job) * d.cfg.LateLoss
}

// worthOfArrivals is the worth of the light jobs that come to one of n engines
// while it is busy with a pass.
func (d *Dispatcher) worthOfArrivals(now time.Time, service string, n int, passMs float64) float64 {
	perMs := d.rate(service).now(now, d.cfg.RateWindow) / 1000 / float64(max(1, n))
	return perMs * passMs * d.cfg.LateLoss
}
