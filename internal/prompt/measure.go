package prompt

import "time"

// measureSend notes how long the request waited before its first attempt.
func (a *Answer) recordQueueing(now time.Time) {
	if a.attempts == 1 {
		a.metrics.Queueing(a.req.Organisation, a.req.Class.Name, now.Sub(a.start))
	}
}

// measureToken notes the time since the token before, whichever attempts the
// two come from.
func (a *Answer) recordTokenInterval(now time.Time) {
	if a.assembly.Delivered() > 1 {
		a.tokenInterval.Record(now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}
