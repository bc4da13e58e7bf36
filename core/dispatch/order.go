package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// sortQueue puts the light jobs first, in the order of their arrival. Of the others
// come first those that can still be on time. Among equals go first those of the
// higher priority, and then those that are worth most for the time that engines
// spend on them.
func (d *Dispatcher) sortQueue(now time.Time) {
	highest := d.highestPriority()
	for _, q := range d.queue {
		q.rank = d.rank(now, &q.Job)
		q.agedPriority = d.agedPriority(now, &q.Job, highest)
		q.prefillPerValue = d.prefillPerValue(&q.Job)
	}
	slices.SortStableFunc(d.queue, func(a, b *queuedJob) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.agedPriority, b.agedPriority),
			cmp.Compare(a.prefillPerValue, b.prefillPerValue),
		)
	})
}

// highestPriority is that of the queue; 0 is the highest of all.
func (d *Dispatcher) highestPriority() int {
	highest := d.queue[0].Priority
	for _, q := range d.queue {
		highest = min(highest, q.Priority)
	}
	return highest
}

// agedPriority is a job's priority, which rises to the highest one that waits while the
// job does, so that none waits for ever.
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

// prefillPerValue is the reading time for each unit of worth; jobs that are read in
// no time are all the same.
func (d *Dispatcher) prefillPerValue(j *Job) float64 {
	f := d.services[j.Service]
	if f == nil || d.light(j) {
		return 0
	}
	return f.ReadMs(j.Prompt, 1) / d.value(j)
}
