package prompt

import "time"

// recordQueueing records the time from the start of the request to its first
// attempt.
func (a *Answer) recordQueueing(now time.Time) {
	if a.attempts == 1 {
		a.metrics.Queueing(a.req.Organisation, a.req.Class.Name, now.Sub(a.start))
	}
}

// recordTokenInterval records the time since the previous token, which may be
// from an earlier attempt.
func (a *Answer) recordTokenInterval(now time.Time) {
	if a.assembly.Delivered() > 1 {
		a.tokenInterval.Record(now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}
