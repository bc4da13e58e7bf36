package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// sortQueue sorts the queue by rank: light jobs first, then long jobs that can
// be on time, then late ones. Within a rank, jobs with the higher aged priority
// come first, and then those with the shorter prefill per unit of value. Ties
// keep their order; new jobs are appended.
func (d *Dispatcher) sortQueue(now time.Time) {
	highest := d.highestPriority()
	for _, q := range d.queue {
		q.rank = d.rank(now, &q.Job)
		q.agedPriority = d.agedPriority(now, &q.Job, highest)
		q.prefillPerValue = d.prefillPerValue(&q.Job)
		q.older = len(d.queue)
	}
	slices.SortStableFunc(d.queue, func(a, b *queuedJob) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.agedPriority, b.agedPriority),
			cmp.Compare(a.prefillPerValue, b.prefillPerValue),
		)
	})
	d.orderByShares(now)
	d.orderTurns(now)
}

// highestPriority returns the highest priority in the queue, which is the
// lowest number.
func (d *Dispatcher) highestPriority() int {
	highest := d.queue[0].Priority
	for _, q := range d.queue {
		highest = min(highest, q.Priority)
	}
	return highest
}

// agedPriority returns a job's priority after ageing. It rises with the waiting
// time, up to the highest priority in the queue, so that no job starves.
func (d *Dispatcher) agedPriority(now time.Time, j *Job, highest int) int {
	until := j.Due
	if until.IsZero() {
		until = j.Deadline
	}
	span := until.Sub(j.Arrived)
	if span <= 0 || j.Priority <= highest {
		return highest
	}
	gained := float64(now.Sub(j.Arrived)) / float64(span) * d.cfg.AgeingLevels
	return max(highest, j.Priority-int(gained))
}

// prefillPerValue returns the prefill time in ms per unit of value; zero for
// light and plain jobs, which are not ordered by it.
func (d *Dispatcher) prefillPerValue(j *Job) float64 {
	f := d.services[j.Service]
	if f == nil || d.light(j) {
		return 0
	}
	return f.PrefillMs(j.PromptTokens, 1) / d.value(j)
}
