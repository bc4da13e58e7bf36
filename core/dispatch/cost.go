package dispatch

import "time"

// weigh fills in the choice's prediction and cost.
func (d *Dispatcher) weigh(now time.Time, job *Job, c *choice, interactive map[string]bool) {
	readers := 1 + len(c.helpers)
	c.harm, c.firstMs = d.weighPart(now, job, c.receiver, readers, interactive)
	for _, h := range c.helpers {
		harm, first := d.weighPart(now, job, h, readers, interactive)
		c.harm += harm
		c.firstMs = max(c.firstMs, first)
	}
	if !d.light(job) {
		c.harm += d.readingPrice(now, job) * c.receiver.engine.ReadMs(job.Prompt, 1)
	}
	c.cost = c.harm + d.worth(job)*d.lateness(now, job, c.firstMs)
}

// weighPart is the harm that one part of the job does at an engine, and when it
// would be read.
func (d *Dispatcher) weighPart(now time.Time, job *Job, e *endpoint, readers int, interactive map[string]bool) (harm, firstMs float64) {
	part := e.engine.NewPart(job.Prompt, readers)
	f := e.model.Forecast(now, *part)
	for _, p := range e.parts {
		if p.receiver {
			harm += d.pauseHarm(p.job, f.WithoutMs, f.PassMs)
		}
		if !p.job.began {
			harm += d.delayHarm(now, p.job, part.Ms)
		}
	}
	if interactive[e.ID] {
		harm += d.arrivalHarm(now, e, f.PassMs, len(interactive))
	}
	return harm, f.FirstMs + d.overdueMs(now, e)
}

// lateness is the share of a job's worth that is lost with a first event after
// so long.
func (d *Dispatcher) lateness(now time.Time, job *Job, firstMs float64) float64 {
	if job.Due.IsZero() {
		return 0
	}
	goal := ms(job.Due.Sub(job.Arrived))
	share := (ms(now.Sub(job.Arrived)) + firstMs) / max(1, goal)
	loss := d.cfg.DelayWeight * min(1, share)
	if share > d.cfg.GoalShare {
		loss += d.cfg.LateLoss * min(1, (share-d.cfg.GoalShare)/(1-d.cfg.GoalShare))
	}
	return loss
}

// pauseHarm is what a writer loses when a pass grows from one length to another.
func (d *Dispatcher) pauseHarm(p *placed, from, to float64) float64 {
	limit := ms(p.Gap) * d.cfg.GapShare
	if limit <= 0 || from > limit || to <= limit {
		return 0
	}
	return d.worth(&p.Job) * d.cfg.LateLoss
}

// delayHarm is what a job that is still being read loses when it is delayed.
func (d *Dispatcher) delayHarm(now time.Time, p *placed, byMs float64) float64 {
	firstMs := max(0, ms(p.predicted.Sub(now)))
	return d.worth(&p.Job) * (d.lateness(now, &p.Job, firstMs+byMs) - d.lateness(now, &p.Job, firstMs))
}

// postpone expects the first events of the jobs later that the engines of a new
// one are reading: each by what the new one adds to it at one engine, which is the
// same at all.
func (d *Dispatcher) postpone(job *placed) {
	delayed := make(map[*placed]bool)
	d.eachPart(job, func(e *endpoint, own *part) {
		for _, p := range e.parts {
			if p == own || p.job.began || delayed[p.job] || own.reading == nil {
				continue
			}
			delayed[p.job] = true
			p.job.predicted = p.job.predicted.Add(fromMs(own.reading.Ms))
		}
	})
}

// arrivalHarm is what the light jobs lose that come to one of n engines during a
// pass: those that wait for its end and the next pass longer than their goal.
func (d *Dispatcher) arrivalHarm(now time.Time, e *endpoint, passMs float64, n int) float64 {
	m := d.demandOf(e.Service)
	if passMs <= 0 {
		return 0
	}
	arrivals := m.lights.now(now, d.cfg.RateWindow) / 1000 * passMs / float64(max(1, n))
	tooLong := passMs + e.engine.PassMs(e.model.Writers(), e.context) - m.lightGoalMs*d.cfg.GoalShare
	late := min(1, max(0, tooLong/passMs))
	return arrivals * late * d.cfg.LateLoss
}
