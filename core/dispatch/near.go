package dispatch

import (
	"cmp"
	"slices"
)

// prefersNear reports whether failure domains count in the placement of the job.
func (d *Dispatcher) prefersNear(job *Job) bool { return d.cfg.RemotePenalty > 0 && job.Domain != "" }

// near reports whether the endpoint is in the failure domain of the job's owner, and that counts.
func (d *Dispatcher) near(job *Job, e *endpoint) bool {
	return d.prefersNear(job) && e.Domain == job.Domain
}

// nearer reports whether the first of two endpoints is near and the other one is not.
func (d *Dispatcher) nearer(job *Job, a, b *endpoint) bool { return d.near(job, a) && !d.near(job, b) }

// precedes reports whether the first of two endpoints goes before the other by their occupancy or, if that
// is the same, as the near one.
func (d *Dispatcher) precedes(job *Job, a, b *endpoint) bool {
	if a.occupancy() != b.occupancy() {
		return a.occupancy() < b.occupancy()
	}
	return d.nearer(job, a, b)
}

// nearReceiver returns the index of the receiver of a group whose first engine with room for the job
// is number i. All engines of the group prefill an equal part, so that the choice changes only where the
// answer is decoded. A near one is as good if it has room, and is kept free for light jobs only if the
// other one is. It must have as many jobs: long prompts come later if answers are decoded at engines
// that would otherwise be idle.
func (d *Dispatcher) nearReceiver(job *Job, group []*endpoint, i, interactive int) int {
	first := group[i]
	if !d.prefersNear(job) || d.near(job, first) {
		return i
	}
	n := slices.IndexFunc(group, func(e *endpoint) bool {
		return d.near(job, e) && e.received >= first.received && (e.index >= interactive || first.index < interactive) && d.fits(job, e)
	})
	if n < 0 {
		return i
	}
	return n
}

// spreadDomains reorders a sorted list of engines so that its first ones, which are kept free for light
// jobs, are spread over the failure domains.
func spreadDomains(engines []*endpoint) {
	number := make(map[*endpoint]int, len(engines))
	count := make(map[string]int)
	for _, e := range engines {
		number[e] = count[e.Domain]
		count[e.Domain]++
	}
	slices.SortStableFunc(engines, func(a, b *endpoint) int { return cmp.Compare(number[a], number[b]) })
}
