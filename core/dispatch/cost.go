package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// lossOfUseless is the share of its worth that a job loses whose answer is of no
// use: more than any other, so that a choice which is of use goes first.
const lossOfUseless = 2

// weigh fills in the choice's prediction and cost.
func (d *Dispatcher) weigh(now time.Time, job *Job, c *choice, interactive map[string]bool) {
	readers := 1 + len(c.helpers)
	c.harm, c.firstMs = d.weighPart(now, job, c.receiver, readers, interactive)
	for _, h := range c.helpers {
		harm, first := d.weighPart(now, job, h, readers, interactive)
		c.harm += harm
		c.firstMs = max(c.firstMs, first)
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
// so long: some for a late one, and all that is left as the time nears at which
// it helps nobody.
func (d *Dispatcher) lateness(now time.Time, job *Job, firstMs float64) float64 {
	if job.Due.IsZero() {
		return 0
	}
	last := d.lastFirst(job)
	if comesTooLate(now, firstMs, last) {
		return lossOfUseless
	}
	sinceMs := engine.Ms(now.Sub(job.Arrived)) + firstMs
	share := sinceMs / max(1, engine.Ms(job.Due.Sub(job.Arrived)))
	loss := d.cfg.DelayWeight * min(1, share)
	if share > d.cfg.GoalShare {
		loss += d.cfg.LateLoss * min(1, (share-d.cfg.GoalShare)/(1-d.cfg.GoalShare))
	}
	used := sinceMs / max(1, engine.Ms(last.Sub(job.Arrived)))
	if used > d.cfg.SafeShare {
		loss += (1 - d.cfg.LateLoss) * (used - d.cfg.SafeShare) / (1 - d.cfg.SafeShare)
	}
	return loss
}

// comesTooLate reports whether a first event after so long comes after the last
// time at which it is of use.
func comesTooLate(now time.Time, firstMs float64, last time.Time) bool {
	return now.Add(engine.Duration(firstMs)).After(last)
}

// lastFirst is when a job's first event is of use at the latest: before its caller
// leaves, and early enough for the rest of the answer.
func (d *Dispatcher) lastFirst(job *Job) time.Time {
	f := d.services[job.Service]
	last := job.Deadline
	if f != nil {
		last = last.Add(-engine.Duration(float64(f.Events(job.Answer)) * f.PassMs(1, 0)))
	}
	if !job.FirstBy.IsZero() && job.FirstBy.Before(last) {
		return job.FirstBy
	}
	return last
}

// pauseHarm is what a writer loses when a pass grows from one length to another.
func (d *Dispatcher) pauseHarm(p *placed, from, to float64) float64 {
	limit := engine.Ms(p.Gap) * d.cfg.GapShare
	if limit <= 0 || from > limit || to <= limit {
		return 0
	}
	return d.worth(&p.Job) * d.cfg.LateLoss
}

// delayHarm is what a job that is still being read loses when it is delayed.
func (d *Dispatcher) delayHarm(now time.Time, p *placed, byMs float64) float64 {
	firstMs := max(0, engine.Ms(p.predicted.Sub(now)))
	return d.worth(&p.Job) * (d.lateness(now, &p.Job, firstMs+byMs) - d.lateness(now, &p.Job, firstMs))
}

// postpone expects the first events later of the jobs that the engines of a new one
// are reading: each once, by what the new one adds to it at an engine.
func (d *Dispatcher) postpone(job *placed) {
	var delayed []*placed
	d.eachPart(job, func(e *endpoint, own *part) {
		for _, p := range e.parts {
			if own.reading == nil || p == own || p.job.began || slices.Contains(delayed, p.job) {
				continue
			}
			delayed = append(delayed, p.job)
			p.job.predicted = p.job.predicted.Add(engine.Duration(own.reading.Ms))
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
