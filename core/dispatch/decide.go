package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// refusedAgain is the least time after which a refused caller comes back.
const refusedAgain = 500 * time.Millisecond

// Decide places and refuses what can be decided now.
func (d *Dispatcher) Decide(now time.Time) []Decision {
	d.expire(now)
	if len(d.queue) == 0 {
		return nil
	}
	d.order(now)
	d.held = false
	d.full = ""
	var decisions []Decision
	kept := d.queue[:0]
	for _, q := range d.queue {
		if now.Before(q.lookAt) {
			d.held = d.held || q.rank == rankOnTime
			kept = append(kept, q)
			continue
		}
		decision, decided := d.decide(now, &q.Job)
		if !decided {
			if q.rank > rankLightLate {
				q.lookAt = now.Add(d.cfg.LookInterval)
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

// passesToFirst is the mean number of passes until a prompt that comes at any time
// is read: half of the one under way, and the next.
const passesToFirst = 1.5

// The ranks of queued jobs.
const (
	rankLight = iota
	rankLightLate
	rankOnTime
	rankLate
)

// leastWait is the time to the first event of a light job on an engine that has
// no free slot but the one that it gets.
func leastWait(f *engine.Figures, j *Job) time.Duration {
	return engine.Duration(f.ReadMs(j.Prompt, 1) + f.PassMs(f.Slots, 0)*passesToFirst)
}

// rank is the place of a queued job before others: light jobs that can be on time
// go before those that can't, so that with too many for all slots some are late
// and not all.
func (d *Dispatcher) rank(now time.Time, j *Job) int {
	f := d.services[j.Service]
	switch {
	case f == nil || d.light(j):
		if f != nil && !j.Due.IsZero() && now.Add(leastWait(f, j)).After(j.Due) {
			return rankLightLate
		}
		return rankLight
	case j.Due.IsZero() || now.Add(engine.Duration(d.leastReadMs(j))).Before(j.Due):
		return rankOnTime
	}
	return rankLate
}

func (d *Dispatcher) decide(now time.Time, job *Job) (Decision, bool) {
	pool := d.candidates(now, job)
	if len(pool) == 0 {
		return d.withoutEndpoint(now, job)
	}
	if d.services[job.Service] == nil {
		return d.decidePlain(now, job, pool)
	}
	return d.decidePrompt(now, job, pool)
}

// candidates lists the endpoints that may get the job: sound ones at which it
// has not failed, or else those that are suspected, or else any.
func (d *Dispatcher) candidates(now time.Time, job *Job) []*endpoint {
	var sound, suspected []*endpoint
	for _, e := range d.pools[job.Service] {
		switch {
		case slices.Contains(job.Avoid, e.ID):
		case e.usable(now):
			sound = append(sound, e)
		default:
			suspected = append(suspected, e)
		}
	}
	switch {
	case len(sound) > 0:
		return sound
	case len(suspected) > 0:
		return suspected
	}
	return d.pools[job.Service]
}

// withoutEndpoint keeps a job while an endpoint may still come in time.
func (d *Dispatcher) withoutEndpoint(now time.Time, job *Job) (Decision, bool) {
	if now.Before(d.giveUpAt(job)) {
		return Decision{}, false
	}
	return refuse(job, ReasonNoEndpoint, refusedAgain), true
}

// giveUpAt is when a job that can't be placed is refused: early enough that its
// caller may still come back.
func (d *Dispatcher) giveUpAt(job *Job) time.Time {
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
		if now.Before(d.giveUpAt(job)) {
			return Decision{}, false
		}
		return refuse(job, ReasonTooLate, refusedAgain), true
	}
	return d.place(now, job, Placement{Job: job.ID, Endpoint: best.ID}), true
}

func (e *endpoint) occupancy() float64 {
	return float64(e.received) / float64(max(1, e.Slots))
}

func (d *Dispatcher) place(now time.Time, job *Job, p Placement) Decision {
	d.postpone(d.enter(now, job, p))
	return Decision{Placement: &p}
}

func refuse(job *Job, reason Reason, again time.Duration) Decision {
	return Decision{Refusal: &Refusal{Job: job.ID, Reason: reason, RetryAfter: again}}
}
