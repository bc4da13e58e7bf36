package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// overdueMs returns the delay, in ms, of the most overdue first event at the
// endpoint, beyond the usual prediction error. The delay is an estimate of work
// at the endpoint that its model doesn't include: as much of that work is taken
// to remain as has been observed.
func (d *Dispatcher) overdueMs(now time.Time, e *endpoint) float64 {
	maxLateMs := 0.0
	for _, p := range e.parts {
		if p.receiver && !p.job.started {
			maxLateMs = max(maxLateMs, engine.Ms(now.Sub(p.job.predicted)))
		}
	}
	return max(0, maxLateMs-engine.Ms(d.cfg.OverdueSlack))
}
