package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// overdueMs is by how much the oldest first event that the endpoint owes is late,
// beyond what forecasts are usually off by. It stands for work that the endpoint
// has and the dispatcher does not know of, of which as much is taken to be left as
// was seen of it.
func (d *Dispatcher) overdueMs(now time.Time, e *endpoint) float64 {
	maxLateMs := 0.0
	for _, p := range e.parts {
		if p.receiver && !p.job.started {
			maxLateMs = max(maxLateMs, engine.Ms(now.Sub(p.job.predicted)))
		}
	}
	return max(0, maxLateMs-engine.Ms(d.cfg.OverdueSlack))
}
