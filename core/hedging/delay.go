package hedging

import "time"

const (
	// minDelay is the shortest delay that the expected time alone gives. The slowest usual answers
	// of short calls take 450 ms.
	minDelay = 500 * time.Millisecond
	// promptFactor and callFactor are the multiples of the expected time after which a response
	// is overdue. A call's time varies more than that of a predicted prompt: one in a hundred
	// takes five times as long.
	promptFactor, callFactor = 3, 8
	// leastPrompt and leastCall are the multiples of the expected time within which no response is
	// overdue, also where the goal or the caller leaves little time.
	leastPrompt, leastCall = 1.5, 4
	// callMargin is the multiple of the high quantile of call times within which no call is overdue: calls
	// of few kinds take nearly the same time each.
	callMargin = 1.25
	// promptMargin is added to the least delay of prompts.
	promptMargin = 100 * time.Millisecond
	// maxRatio bounds the learned ratios of the times to their predictions: beyond it the service is
	// slow, which Guard handles.
	maxRatio = 3
)

// Wait describes a request that has just been sent to an endpoint.
type Wait struct {
	// Predicted is the predicted time to a prompt's first event; zero for other requests.
	Predicted time.Duration
	// Estimated is the expected time of a call by placement, which knows its kind and its endpoint;
	// zero if it has no estimate.
	Estimated time.Duration
	// Observed is what is known of the route: the times of its calls in nanoseconds or, with a
	// prediction, their ratios to it.
	Observed Statistics
	// Goal is the time left in which the answer would be on time; zero or less for none.
	Goal time.Duration
	// Patience is the time left until the caller disconnects.
	Patience time.Duration
}

// Delay returns the time from sending the request after which another endpoint may be asked. It
// returns false if that would not serve the request before its caller disconnects.
func (w *Wait) Delay() (time.Duration, bool) {
	overdue, least := w.overdue()
	delay := max(overdue, minDelay)
	if half := w.Goal / 2; half >= minDelay {
		delay = min(delay, half)
	}
	delay = max(min(delay, w.Patience/2), least)
	return delay, delay+w.Expected() < w.Patience
}

// Expected returns the expected time to the response; zero if it is not known. A prediction is
// corrected by the usual ratio where that makes it later.
func (w *Wait) Expected() time.Duration {
	if w.Predicted > 0 {
		return scale(w.Predicted, min(max(w.Observed.Mean(), 1), maxRatio))
	}
	if w.Estimated > 0 {
		return w.Estimated
	}
	return time.Duration(w.Observed.Mean())
}

// overdue returns the time after which the response is overdue, and the least time after which
// another endpoint may be asked, which hardly any response exceeds.
func (w *Wait) overdue() (overdue, least time.Duration) {
	expected := w.Expected()
	switch {
	case w.Predicted > 0:
		high := scale(w.Predicted, min(w.Observed.HighQuantile(), maxRatio))
		return promptFactor * expected, max(scale(expected, leastPrompt), high) + promptMargin
	case expected > 0:
		return callFactor * expected, max(leastCall*expected, time.Duration(callMargin*w.Observed.HighQuantile()))
	case w.Goal > 0:
		return 2 * w.Goal, 0
	}
	return w.Patience / 2, 0
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
