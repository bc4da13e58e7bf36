package retry

import "time"

// windowSteps is the number of steps in which a Window forgets.
const windowSteps = 10

// Window bounds the repeats of requests within any span of its length by a
// share of the requests in that span, and an allowance. It is not safe for
// concurrent use.
type Window struct {
	length    time.Duration
	ratio     float64
	allowance float64
	steps     [windowSteps]tally
	first     int64
}

// tally counts within one step.
type tally struct{ requests, repeats float64 }

// NewWindow returns a Window without history.
func NewWindow(length time.Duration, ratio, allowance float64) *Window {
	return &Window{length: length, ratio: ratio, allowance: allowance}
}

// SetBounds changes the share of the requests that may be repeated, and the
// repeats that are allowed whatever the requests.
func (w *Window) SetBounds(ratio, allowance float64) { w.ratio, w.allowance = ratio, allowance }

// Requested notes a request's first send.
func (w *Window) Requested(now time.Time) { w.at(now).requests++ }

// Take notes a repeat and reports whether it may be made.
func (w *Window) Take(now time.Time) bool {
	step := w.at(now)
	var sum tally
	for _, s := range w.steps {
		sum.requests += s.requests
		sum.repeats += s.repeats
	}
	if sum.repeats+1 > w.ratio*sum.requests+w.allowance {
		return false
	}
	step.repeats++
	return true
}

// at returns the step of the time, and forgets those that have left the window.
func (w *Window) at(now time.Time) *tally {
	step := now.UnixNano() / int64(w.length/windowSteps)
	for i := max(w.first, step-windowSteps) + 1; i <= step; i++ {
		w.steps[i%windowSteps] = tally{}
	}
	w.first = max(w.first, step)
	return &w.steps[w.first%windowSteps]
}
