package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// uselessAnswerLoss is the share of its value that a job loses when its first
// event misses the cutoff. It is larger than any other loss, so that
// assignments that meet the cutoff are preferred.
const uselessAnswerLoss = 2

// evaluate sets the assignment's prediction and cost. interactive is the number of
// engines that are kept free of long prefills.
func (d *Dispatcher) evaluate(now time.Time, job *Job, c *assignment, interactive int) {
	prefillEngines := 1 + len(c.helpers)
	c.interference, c.firstMs = d.evaluatePart(now, job, c.receiver, prefillEngines, interactive)
	for _, h := range c.helpers {
		interference, firstMs := d.evaluatePart(now, job, h, prefillEngines, interactive)
		c.interference += interference
		c.firstMs = max(c.firstMs, firstMs)
	}
	c.cost = c.interference + d.value(job)*d.latenessLoss(now, job, c.firstMs)
}

// evaluatePart returns the value that other jobs lose if the endpoint prefills
// one part of the job, and the predicted time, in ms, until the part has been
// prefilled.
func (d *Dispatcher) evaluatePart(now time.Time, job *Job, e *endpoint, prefillEngines int, interactive int) (interference, firstMs float64) {
	part := e.engine.NewPrefillPart(job.PromptTokens, prefillEngines)
	f := e.model.Forecast(now, *part)
	for _, p := range e.parts {
		if p.receiver {
			interference += d.gapLoss(p.job, f.BaselinePassMs, f.LongestPassMs)
		}
		if !p.job.started {
			interference += d.delayLoss(now, p.job, part.Ms)
		}
	}
	if e.index < interactive {
		interference += d.arrivalLoss(now, e, f.MeanPassMs, interactive)
	}
	return interference, f.FirstMs + d.overdueMs(now, e)
}

// latenessLoss returns the share of a job's value that is lost with a first
// event firstMs from now. It grows with the delay up to the goal, by LateLoss
// near the goal, and by the rest of the value towards the cutoff.
func (d *Dispatcher) latenessLoss(now time.Time, job *Job, firstMs float64) float64 {
	if job.Due.IsZero() {
		return 0
	}
	cutoff := d.firstEventCutoff(job)
	if missesCutoff(now, firstMs, cutoff) {
		return uselessAnswerLoss
	}
	sinceMs := engine.Ms(now.Sub(job.Arrived)) + firstMs
	goalShare := sinceMs / max(1, engine.Ms(job.Due.Sub(job.Arrived)))
	loss := d.cfg.DelayWeight * min(1, goalShare)
	if goalShare > d.cfg.GoalShare {
		loss += d.cfg.LateLoss * min(1, (goalShare-d.cfg.GoalShare)/(1-d.cfg.GoalShare))
	}
	cutoffShare := sinceMs / max(1, engine.Ms(cutoff.Sub(job.Arrived)))
	if cutoffShare > d.cfg.SafeShare {
		loss += (1 - d.cfg.LateLoss) * (cutoffShare - d.cfg.SafeShare) / (1 - d.cfg.SafeShare)
	}
	return loss
}

// missesCutoff reports whether a first event firstMs from now comes after the
// cutoff.
func missesCutoff(now time.Time, firstMs float64, cutoff time.Time) bool {
	return now.Add(engine.Duration(firstMs)).After(cutoff)
}

// firstEventCutoff returns the latest time at which a job's first event is of
// use: before its caller disconnects, and early enough for the rest of the
// answer to be decoded by the deadline and before the owner exits.
func (d *Dispatcher) firstEventCutoff(job *Job) time.Time {
	f := d.services[job.Service]
	cutoff := job.Deadline
	if f != nil {
		cutoff = cutoff.Add(-engine.Duration(float64(f.Events(job.AnswerTokens)) * f.PassMs(1, 0)))
	}
	if f != nil && job.ownerExitsFirst() {
		cutoff = earlier(cutoff, d.exitCutoff(f, job))
	}
	if !job.FirstEventBy.IsZero() && job.FirstEventBy.Before(cutoff) {
		return job.FirstEventBy
	}
	return cutoff
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// gapLoss returns the value that a decoding job loses when a pass grows from
// oldMs to newMs. There is no loss unless only the longer pass exceeds the
// job's gap limit.
func (d *Dispatcher) gapLoss(p *placedJob, oldMs, newMs float64) float64 {
	limit := engine.Ms(p.MaxGap) * d.cfg.GapShare
	if limit <= 0 || oldMs > limit || newMs <= limit {
		return 0
	}
	return d.value(&p.Job) * d.cfg.LateLoss
}

// delayLoss returns the value that a job in prefill loses when its first event
// is delayed by delayMs.
func (d *Dispatcher) delayLoss(now time.Time, p *placedJob, delayMs float64) float64 {
	firstMs := max(0, engine.Ms(p.predicted.Sub(now)))
	return d.value(&p.Job) * (d.latenessLoss(now, &p.Job, firstMs+delayMs) - d.latenessLoss(now, &p.Job, firstMs))
}

// delayPredictions postpones the predicted first events of the jobs in prefill
// at the engines of a new job: each job once, by the prefill time of the new
// job's part at the first engine that they share.
func (d *Dispatcher) delayPredictions(job *placedJob) {
	var delayed []*placedJob
	d.forEachPart(job, func(e *endpoint, newPart *part) {
		for _, p := range e.parts {
			if newPart.prefill == nil || p == newPart || p.job.started || slices.Contains(delayed, p.job) {
				continue
			}
			delayed = append(delayed, p.job)
			p.job.predicted = p.job.predicted.Add(engine.Duration(newPart.prefill.Ms))
		}
	})
}

// arrivalLoss returns the value lost by the light jobs that arrive at one of n
// engines during a pass: those whose wait for the end of that pass and for the
// next one exceeds their goal. Each of them counts as one unit of value.
func (d *Dispatcher) arrivalLoss(now time.Time, e *endpoint, passMs float64, n int) float64 {
	m := d.demandOf(e.Service)
	if passMs <= 0 {
		return 0
	}
	arrivals := m.lightRate.current(now, d.cfg.RateWindow) / 1000 * passMs / float64(max(1, n))
	excessMs := passMs + e.engine.PassMs(e.model.Decoding(), e.heldTokens) - m.lightGoalMs*d.cfg.GoalShare
	lateShare := min(1, max(0, excessMs/passMs))
	return arrivals * lateShare * d.cfg.LateLoss
}
