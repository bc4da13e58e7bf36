package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// refusalRetryAfter is the least time after which a refused caller comes back.
const refusalRetryAfter = 500 * time.Millisecond

// Decide places and refuses what can be decided now.
func (d *Dispatcher) Decide(now time.Time) []Decision {
	d.expire(now)
	if len(d.queue) == 0 {
		return nil
	}
	d.sortQueue(now)
	d.longHeld = false
	d.fullService = ""
	var decisions []Decision
	kept := d.queue[:0]
	for _, q := range d.queue {
		if now.Before(q.recheckAt) {
			d.longHeld = d.longHeld || q.rank == rankLong
			kept = append(kept, q)
			continue
		}
		decision, decided := d.decide(now, &q.Job)
		if !decided {
			if q.rank > rankLightLate {
				q.recheckAt = now.Add(d.cfg.RecheckInterval)
			}
			kept = append(kept, q)
			continue
		}
		decision.Owner = q.Owner
		decisions = append(decisions, decision)
	}
	clear(d.queue[len(kept):])
	d.queue = kept
	return decisions
}

// meanPrefillPasses is the mean number of passes until a prompt that comes at any time
// is read: half of the one under way, and the next.
const meanPrefillPasses = 1.5

// The ranks of queued jobs.
const (
	rankLight = iota
	rankLightLate
	rankLong
	rankLongLate
)

// minFirstEventWait is the time to the first event of a light job on an engine that has
// no free slot but the one that it gets.
func minFirstEventWait(f *engine.Figures, j *Job) time.Duration {
	return engine.Duration(f.ReadMs(j.Prompt, 1) + f.PassMs(f.Slots, 0)*meanPrefillPasses)
}

// rank is the place of a queued job before others: light jobs that can be on time
// go before those that can't, so that with too many for all slots some are late
// and not all.
func (d *Dispatcher) rank(now time.Time, j *Job) int {
	f := d.services[j.Service]
	switch {
	case f == nil || d.light(j):
		if f != nil && !j.Due.IsZero() && now.Add(minFirstEventWait(f, j)).After(j.Due) {
			return rankLightLate
		}
		return rankLight
	case j.Due.IsZero() || now.Add(engine.Duration(d.minPrefillMs(j))).Before(j.Due):
		return rankLong
	}
	return rankLongLate
}

func (d *Dispatcher) decide(now time.Time, job *Job) (Decision, bool) {
	pool := d.candidates(now, job)
	if len(pool) == 0 {
		return d.handleNoEndpoint(now, job)
	}
	if d.services[job.Service] == nil {
		return d.decidePlain(now, job, pool)
	}
	return d.decidePrompt(now, job, pool)
}

// candidates lists the endpoints that may get the job: sound ones at which it
// has not failed, or else those that are suspected, or else any.
func (d *Dispatcher) candidates(now time.Time, job *Job) []*endpoint {
	var healthy, backedOff []*endpoint
	for _, e := range d.pools[job.Service] {
		switch {
		case slices.Contains(job.Avoid, e.ID):
		case e.usable(now):
			healthy = append(healthy, e)
		default:
			backedOff = append(backedOff, e)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(backedOff) > 0:
		return backedOff
	}
	return d.pools[job.Service]
}

// handleNoEndpoint keeps a job while an endpoint may still come in time.
func (d *Dispatcher) handleNoEndpoint(now time.Time, job *Job) (Decision, bool) {
	if now.Before(d.refusalTime(job)) {
		return Decision{}, false
	}
	return refuse(job, ReasonNoEndpoint, refusalRetryAfter), true
}

// refusalTime is when a job that can't be placed is refused: early enough that its
// caller may still come back.
func (d *Dispatcher) refusalTime(job *Job) time.Time {
	return job.Arrived.Add(job.Deadline.Sub(job.Arrived) / 3)
}

// decidePlain sends the job to the endpoint with the largest share of free
// slots, and keeps it while all are full.
func (d *Dispatcher) decidePlain(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	var best *endpoint
	for _, e := range pool {
		if best == nil || e.occupancy() < best.occupancy() {
			best = e
		}
	}
	if best.occupancy() >= 1 {
		if now.Before(d.refusalTime(job)) {
			return Decision{}, false
		}
		return refuse(job, ReasonTooLate, refusalRetryAfter), true
	}
	return d.place(now, job, Placement{Job: job.ID, Endpoint: best.ID}), true
}

func (e *endpoint) occupancy() float64 {
	return float64(e.received) / float64(max(1, e.Slots))
}

func (d *Dispatcher) place(now time.Time, job *Job, p Placement) Decision {
	d.delayPredictions(d.addPlaced(now, job, p))
	return Decision{Placement: &p}
}

func refuse(job *Job, reason Reason, retryAfter time.Duration) Decision {
	return Decision{Refusal: &Refusal{Job: job.ID, Reason: reason, RetryAfter: retryAfter}}
}
