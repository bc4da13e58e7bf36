package dispatch

import "time"

// coldBurstShare is the share of a second's requests that a cold endpoint may get at once.
const coldBurstShare = 0.25

// Cold describes the time after a start during which an endpoint bears fewer requests.
type Cold struct {
	// For is how long an endpoint of the service is cold after its start; zero for never.
	For time.Duration
	// PerSecond is the number of requests that a cold endpoint bears in a second.
	PerSecond float64
}

// warmth tells whether an endpoint is cold, and bounds its requests while it is.
type warmth struct {
	coldUntil time.Time
	// tokens is the number of requests that the endpoint may get at the time updated.
	tokens  float64
	updated time.Time
}

// cool makes the endpoint cold until the time, unless it is cold for longer.
func (w *warmth) cool(until time.Time) {
	if until.After(w.coldUntil) {
		w.coldUntil = until
	}
}

// burst returns the number of requests that a cold endpoint may get at once.
func (c Cold) burst() float64 { return 1 + coldBurstShare*c.PerSecond }

// refill adds the requests that have become admissible since the last call.
func (w *warmth) refill(now time.Time, c Cold) {
	w.tokens = min(c.burst(), w.tokens+max(0, now.Sub(w.updated).Seconds())*c.PerSecond)
	w.updated = now
}

// admits reports whether the endpoint may get a request now.
func (w *warmth) admits(now time.Time, c Cold) bool {
	if c.PerSecond <= 0 || !now.Before(w.coldUntil) {
		return true
	}
	w.refill(now, c)
	return w.tokens >= 1
}

// count counts a request that the endpoint gets.
func (w *warmth) count(now time.Time, c Cold) {
	if c.PerSecond <= 0 || !now.Before(w.coldUntil) {
		return
	}
	w.refill(now, c)
	w.tokens--
}

// holdForWarmth holds a job until one of the cold endpoints may get a request, and refuses
// it at its refusal time.
func (d *Dispatcher) holdForWarmth(now time.Time, job *Job) (Decision, bool) {
	if now.Before(d.refusalTime(job)) {
		return Decision{}, false
	}
	return refuse(job, ReasonTooLate, refusalRetryAfter), true
}
