package dispatch

import "time"

// silentAfter is how late an answer that never began must have been for its endpoint to count as
// silent. Some callers leave early, and predictions are off by less than that in general.
const silentAfter = 400 * time.Millisecond

// recordAbandoned marks the receiver of a job as silent if the job was given up long after its answer
// should have begun. Without that, an endpoint that hangs would look idle once its jobs were given up,
// and get as many jobs again as it has slots.
func (d *Dispatcher) recordAbandoned(now time.Time, p *placedJob, e *endpoint) {
	if !d.cfg.LearnCosts || p.started || len(p.Helpers) > 0 {
		return
	}
	expected := p.predicted
	if d.services[p.Service] == nil {
		expected = p.placedAt.Add(stopHoldings * d.demandOf(p.Service).holding.mean)
	}
	if now.Sub(expected) > silentAfter {
		e.silent = true
		e.backOff(now, d.cfg.FailureBackoff, d.cfg.MaxBackoff)
	}
}

// awaitsProbe reports whether the endpoint is silent and has a job that will show whether it answers
// again.
func (e *endpoint) awaitsProbe() bool { return e.silent && e.received > 0 }
