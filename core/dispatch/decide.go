package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// refusalRetryAfter is the minimum time before the caller of a refused job
// retries.
const refusalRetryAfter = 500 * time.Millisecond

// Decide places or refuses the queued jobs that can be decided now, and returns
// the decisions.
func (d *Dispatcher) Decide(now time.Time) []Decision {
	d.expire(now)
	if len(d.queue) == 0 {
		return nil
	}
	d.sortQueue(now)
	recheck := d.recheckInterval()
	d.startTurns()
	d.longHeld = false
	d.fullService = ""
	clear(d.heldPlain)
	if d.costs != nil {
		d.costs.decision++
		d.refreshModelScales(now)
	}
	var decisions []Decision
	kept := d.queue[:0]
	for _, q := range d.queue {
		if now.Before(q.recheckAt) || d.yields(q) {
			d.longHeld = d.longHeld || q.rank == rankLong
			d.turnsOf(q.Service).held++
			if d.cfg.FairShares {
				q.shares.hold(now, q)
			}
			kept = append(kept, q)
			continue
		}
		decision, decided := d.decide(now, q)
		if !decided {
			decision, decided = d.holdByShare(now, q)
		}
		if !decided {
			if q.rank > rankLightLate {
				q.recheckAt = now.Add(recheck)
			}
			kept = append(kept, q)
			continue
		}
		if decision.Refusal != nil {
			d.explainRefusal(now, q, decision.Refusal)
		}
		decision.Owner = q.Owner
		decisions = append(decisions, decision)
	}
	clear(d.queue[len(kept):])
	d.queue = kept
	return decisions
}

// recheckInterval returns the time between two placement attempts for a queued long
// prompt, for the present queue.
func (d *Dispatcher) recheckInterval() time.Duration {
	long := 0
	for _, q := range d.queue {
		if q.rank > rankLightLate {
			long++
		}
	}
	n := max(1, d.cfg.RechecksPerInterval)
	return d.cfg.RecheckInterval * time.Duration(max(1, (long+n-1)/n))
}

// meanPrefillPasses is the mean number of passes until a prompt that arrives at
// a random time has been prefilled: half of the pass under way, and the next
// one.
const meanPrefillPasses = 1.5

// Ranks of queued jobs, in the order of the queue. Jobs in rankLightLate and
// rankLongLate are expected to be late.
const (
	rankLight = iota
	rankLightLate
	rankLong
	rankLongLate
)

// minFirstEventWait returns the time to the first event of a light job on an
// engine whose last free slot the job takes.
func minFirstEventWait(f *engine.CostModel, j *Job) time.Duration {
	return engine.Duration(f.PrefillMs(j.PromptTokens, 1) + f.PassMs(f.Slots, 0)*meanPrefillPasses)
}

// rank returns the rank of a queued job. Light jobs that can be on time go
// before those that can't, so that with more jobs than slots some are late
// rather than all.
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

func (d *Dispatcher) decide(now time.Time, q *queuedJob) (Decision, bool) {
	job := &q.Job
	if d.turnClosed(job) {
		return d.holdForTurn(now, q)
	}
	if d.lightClosed(now, job) {
		return d.hold(now, job)
	}
	if pool := d.unrestrictedPool(now, job); pool != nil {
		return d.decidePlain(now, job, pool)
	}
	pool, limited := d.candidates(now, job)
	switch {
	case len(pool) == 0 && limited:
		return d.holdForTurn(now, q)
	case len(pool) == 0:
		return d.handleNoEndpoint(now, job)
	}
	if d.services[job.Service] == nil {
		return d.decidePlain(now, job, pool)
	}
	return d.decidePrompt(now, job, pool)
}

// candidates returns the endpoints that may get the job: those not in back-off
// at which it has not failed, or else those in back-off at which it has not
// failed, or else those at which it has failed. Excluded endpoints are none of them, nor
// are those with a bounded rate that have had their requests; limited is set if there are
// such. Engines that have named a limit and have had their requests can still help with a
// prompt: they are added to the pool of others. The pool is valid until the next call.
func (d *Dispatcher) candidates(now time.Time, job *Job) (pool []*endpoint, limited bool) {
	s := &d.scratch
	healthy, backedOff, avoided, helpers := s.healthy[:0], s.backedOff[:0], s.avoided[:0], s.helpers[:0]
	defer func() { s.healthy, s.backedOff, s.avoided, s.helpers = healthy, backedOff, avoided, helpers }()
	for _, e := range d.pools[job.Service] {
		e.helperOnly = !d.admits(now, e)
		switch {
		case slices.Contains(job.Exclude, e.ID):
		case e.helperOnly:
			limited = true
			if d.mayHelp(now, job, e) {
				helpers = append(helpers, e)
			}
		case slices.Contains(job.Avoid, e.ID):
			avoided = append(avoided, e)
		case e.usable(now):
			healthy = append(healthy, e)
		default:
			backedOff = append(backedOff, e)
		}
	}
	switch {
	case len(healthy) > 0:
		healthy = append(healthy, helpers...)
		return healthy, limited
	case len(backedOff) > 0:
		return backedOff, limited
	}
	return avoided, limited
}

// mayHelp reports whether an endpoint that may get no request now may help with the job's
// prompt: the part of a prompt comes from another engine, so that it does not count for the
// limit of this one. A cold engine is spared.
func (d *Dispatcher) mayHelp(now time.Time, job *Job, e *endpoint) bool {
	return e.engine != nil && !d.light(job) && e.usable(now) && !e.cold(now, d.cold[e.Service]) && !slices.Contains(job.Avoid, e.ID)
}

// handleNoEndpoint refuses a job whose pool is empty, or from which all endpoints of
// the pool are excluded. The job is held until its refusal time while the pool has been
// empty for less than JoinWait, as after a start or the loss of the last endpoint: then
// another endpoint may well be listed in a moment.
func (d *Dispatcher) handleNoEndpoint(now time.Time, job *Job) (Decision, bool) {
	if len(d.pools[job.Service]) > 0 {
		return refuse(job, ReasonNoEndpoint, refusalRetryAfter), true
	}
	m := d.demandOf(job.Service)
	if m.emptySince.IsZero() {
		m.emptySince = now
	}
	if now.Before(d.refusalTime(job)) && now.Sub(m.emptySince) < d.cfg.JoinWait {
		return Decision{}, false
	}
	return refuse(job, ReasonNoEndpoint, d.cfg.JoinWait), true
}

// refusalTime returns when a job that can't be placed is refused: after a third
// of the time in which it must end, so that its caller can still retry.
func (d *Dispatcher) refusalTime(job *Job) time.Time {
	return job.Arrived.Add(job.endBy().Sub(job.Arrived) / 3)
}

func (d *Dispatcher) place(now time.Time, job *Job, p Placement) Decision {
	return d.placeEstimated(now, job, p, jobCost{})
}

// placeEstimated is like place for a job of a plain service whose cost is known.
func (d *Dispatcher) placeEstimated(now time.Time, job *Job, p Placement, cost jobCost) Decision {
	d.countRequests(now, job, &p)
	p.Limited = d.endpoints[p.Endpoint].limit != nil
	placed := d.addPlaced(now, job, p, cost)
	d.countPlacement(now, placed)
	d.delayPredictions(placed)
	return Decision{Placement: &p}
}

func refuse(job *Job, reason Reason, retryAfter time.Duration) Decision {
	return Decision{Refusal: &Refusal{Job: job.ID, Reason: reason, RetryAfter: retryAfter}}
}
