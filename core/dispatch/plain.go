package dispatch

import "time"

// holdingWeight is the weight of the latest job in the mean holding time of a service.
const holdingWeight = 0.1

// holding is the mean time for which jobs hold a slot of a plain service.
type holding struct{ mean time.Duration }

// add counts a job that was served.
func (h *holding) add(took time.Duration) {
	if h.mean == 0 {
		h.mean = took
		return
	}
	h.mean += time.Duration(holdingWeight * float64(took-h.mean))
}

// decidePlain places the job at the endpoint with the lowest occupancy. While all are
// full the job is held, until its refusal time. It is refused at once if the time until
// a slot is free for it, by the mean holding time of the slots and the jobs that wait
// before it, leaves too little of its time.
func (d *Dispatcher) decidePlain(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	var best *endpoint
	slots := 0
	for _, e := range pool {
		slots += max(1, e.Slots)
		if best == nil || e.occupancy() < best.occupancy() {
			best = e
		}
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
