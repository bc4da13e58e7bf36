package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// A job of an owner that stops must be expected to end before the owner exits, which cuts it
// off. Single jobs take longer than the mean: stopHoldings is the number of mean holding times
// of a plain service that a job may take, and stopDecodings that of the mean decoding time of a
// prompt's answer, for the longest answer that its caller takes.
const (
	stopHoldings  = 3
	stopDecodings = 2
)

// endsBeforeOwnerExits reports whether a job that is placed now, with its first event after
// the predicted time, ends before its owner exits. For a plain service, predicted is the expected
// time of the job, or zero if it was not estimated. While nothing is known of a plain service,
// which has not served a job yet, its jobs are assumed to take half of the time to their deadlines.
func (d *Dispatcher) endsBeforeOwnerExits(now time.Time, job *Job, predicted time.Duration) bool {
	if !job.ownerExitsFirst() {
		return true
	}
	if f := d.services[job.Service]; f != nil {
		return !now.Add(predicted).After(d.exitCutoff(f, job))
	}
	needed := job.Deadline.Sub(now) / 2
	if predicted > 0 {
		needed = stopHoldings * predicted
	} else if mean := d.demandOf(job.Service).holding.mean; mean > 0 {
		needed = stopHoldings * mean
	}
	return !now.Add(needed).After(job.OwnerExit)
}

// exitCutoff returns the latest time of a first event after which the answer is decoded before
// the job's owner exits. An engine all of whose slots and memory are in use is assumed if no
// answer has been decoded yet.
func (d *Dispatcher) exitCutoff(f *engine.CostModel, job *Job) time.Time {
	decodeMs := float64(f.Events(job.AnswerTokens)) * f.PassMs(f.Slots, f.MemoryTokens)
	if mean := d.demandOf(job.Service).decoding.mean; mean > 0 {
		decodeMs = min(decodeMs, stopDecodings*engine.Ms(mean)*float64(job.AnswerTokens))
	}
	return job.OwnerExit.Add(-engine.Duration(decodeMs))
}

// EndsInTime reports whether a job that another dispatcher has placed ends before its owner
// exits.
func (d *Dispatcher) EndsInTime(now time.Time, job Job, p Placement) bool {
	if d.services[job.Service] == nil {
		return d.endsBeforeOwnerExits(now, &job, p.Expected)
	}
	return d.endsBeforeOwnerExits(now, &job, p.Predicted)
}

// refuseTooLate refuses a job that can't end in time. If that is because its owner is
// stopping, its caller may come back to another VM soon.
func refuseTooLate(job *Job, retryAfter time.Duration) Decision {
	if job.ownerExitsFirst() {
		return refuse(job, ReasonOwnerStopping, StoppingRetryAfter)
	}
	return refuse(job, ReasonTooLate, retryAfter)
}

// StoppingRetryAfter is the minimum time before the caller of a job retries that was
// refused because its owner is stopping.
const StoppingRetryAfter = 50 * time.Millisecond
