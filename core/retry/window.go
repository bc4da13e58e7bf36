package retry

import "time"

// windowIntervals is the number of intervals into which a Window divides its
// length.
const windowIntervals = 10

// Window is a sliding-window limit with the granularity of an interval: within
// any span of its length, the retries may not exceed a fraction of the requests
// in that span plus an allowance. It is not safe for concurrent use.
type Window struct {
	length    time.Duration
	ratio     float64
	allowance float64
	intervals [windowIntervals]tally
	// start is the time of the first event. Intervals are counted from it, by the
	// monotonic clock, so that steps of the wall clock don't end or stretch them.
	start  time.Time
	latest int64
}

// tally holds the counts of one interval.
type tally struct{ requests, retries float64 }

// NewWindow returns a Window without history.
func NewWindow(length time.Duration, ratio, allowance float64) *Window {
	return &Window{length: length, ratio: ratio, allowance: allowance}
}

// Length returns the length of the window.
func (w *Window) Length() time.Duration { return w.length }

// SetBounds sets the fraction of the requests that may be retried and the
// number of additional retries.
func (w *Window) SetBounds(ratio, allowance float64) { w.ratio, w.allowance = ratio, allowance }

// RecordRequest records the first send of a request.
func (w *Window) RecordRequest(now time.Time) { w.tallyAt(now).requests++ }

// Take reports whether a retry may be made, and counts it if so.
func (w *Window) Take(now time.Time) bool {
	if !w.Allows(now) {
		return false
	}
	w.tallyAt(now).retries++
	return true
}

// Allows reports whether a retry may be made, and counts none.
func (w *Window) Allows(now time.Time) bool { return w.Left(now) >= 1 }

// Left returns the number of retries that may be made.
func (w *Window) Left(now time.Time) float64 {
	w.tallyAt(now)
	var sum tally
	for _, s := range w.intervals {
		sum.requests += s.requests
		sum.retries += s.retries
	}
	return w.ratio*sum.requests + w.allowance - sum.retries
}

// tallyAt returns the tally of the interval that contains now and clears the
// intervals that have left the window.
func (w *Window) tallyAt(now time.Time) *tally {
	if w.start.IsZero() {
		w.start = now
	}
	interval := int64(now.Sub(w.start) / (w.length / windowIntervals))
	for i := max(w.latest, interval-windowIntervals) + 1; i <= interval; i++ {
		w.intervals[i%windowIntervals] = tally{}
	}
	w.latest = max(w.latest, interval)
	return &w.intervals[w.latest%windowIntervals]
}
