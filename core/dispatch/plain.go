package dispatch

import "time"

// durationWeight is the weight of the latest job in a mean duration of a service.
const durationWeight = 0.1

// meanDuration is an average of the durations of the latest jobs of a service; zero for none.
type meanDuration struct{ mean time.Duration }

// add counts the duration of a job.
func (m *meanDuration) add(took time.Duration) {
	if m.mean == 0 {
		m.mean = took
		return
	}
	m.mean += time.Duration(durationWeight * float64(took-m.mean))
}

// decidePlain places the job at the endpoint with the lowest occupancy, of equal ones in its owner's
// failure domain, or refuses it if it might not end there before its owner exits. While all are full
// the job is held, until its refusal time. It is refused at once if the time until a slot is free for
// it, by the mean holding time of the slots and the jobs that wait before it, leaves too little of its
// time. If there is an estimate of its cost, decideByCost decides instead.
func (d *Dispatcher) decidePlain(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	if cost := d.costOf(now, job); cost.Evidence > 0 {
		return d.decideByCost(now, job, pool, cost)
	}
	var best *endpoint
	slots := 0
	for _, e := range pool {
		slots += max(1, e.Slots)
		if best == nil || d.precedes(job, e, best) {
			best = e
		}
	}
	if best.occupancy() < 1 && !d.endsBeforeOwnerExits(now, job, 0) {
		return refuseTooLate(job, refusalRetryAfter), true
	}
	if best.occupancy() < 1 {
		return d.place(now, job, Placement{Job: job.ID, Endpoint: best.ID}), true
	}
	mean := d.demandOf(job.Service).holding.mean
	wait := mean * time.Duration(d.heldPlain[job.Service]+1) / time.Duration(slots)
	if now.Add(wait+mean).After(job.endBy()) || !now.Before(d.refusalTime(job)) {
		return refuseTooLate(job, max(wait, refusalRetryAfter)), true
	}
	d.heldPlain[job.Service]++
	return Decision{}, false
}

func (e *endpoint) occupancy() float64 {
	return float64(e.received) / float64(max(1, e.Slots))
}
