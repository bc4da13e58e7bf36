package dispatch

import (
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// rate is an average of arrivals per second with exponential decay.
type rate struct {
	perSecond float64
	updatedAt time.Time
}

// add counts an amount that arrives now.
func (r *rate) add(now time.Time, window time.Duration, amount float64) {
	r.decay(now, window)
	r.perSecond += amount / window.Seconds()
}

// current returns the average per second.
func (r *rate) current(now time.Time, window time.Duration) float64 {
	r.decay(now, window)
	return r.perSecond
}

func (r *rate) decay(now time.Time, window time.Duration) {
	if !r.updatedAt.IsZero() && now.After(r.updatedAt) {
		r.perSecond *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(window))
	}
	r.updatedAt = now
}

// demand is the load of a service.
type demand struct {
	// lightRate counts arrivals of light jobs, and lightGoalMs is the latency
	// goal of the last one that had a goal.
	lightRate   rate
	lightGoalMs float64
	// longPrefillRate is the prefill time of arriving long jobs, in ms per
	// second, and longValueRate their value per second.
	longPrefillRate rate
	longValueRate   rate
	// pacesAt is when the paces of the endpoints were last read.
	pacesAt time.Time
	// slow has the endpoints that were slow then.
	slow []*endpoint
	// emptySince is when the service lost its last endpoint, or a job first found it
	// without any; zero while it has some.
	emptySince time.Time
	// listed is set once the service has had an endpoint.
	listed bool
	// holding is the time for which jobs hold a slot of a plain service, and decoding the
	// time in which engines decode an answer, for each token of the longest answer that its
	// caller takes.
	holding, decoding meanDuration
	// heldLight counts the light jobs that were held until heldUntil although an engine
	// had a free slot.
	heldLight int
	heldUntil time.Time
	// active is the number of placed light jobs, and backlogMs their prefill
	// that is still to be done.
	active    int
	backlogMs float64
}

// add counts a job that is placed.
func (m *demand) add(p *placedJob, f *engine.CostModel) {
	if !p.light {
		return
	}
	m.active++
	p.prefillMs = f.PrefillMs(p.PromptTokens, 1)
	m.backlogMs += p.prefillMs
}

// markPrefilled takes a job's prefill off the backlog.
func (m *demand) markPrefilled(p *placedJob) {
	m.backlogMs -= p.prefillMs
	p.prefillMs = 0
}

// countHeldLight counts a light job that is held, in intervals of the given length.
func (m *demand) countHeldLight(now time.Time, interval time.Duration) {
	if !now.Before(m.heldUntil) {
		m.heldLight, m.heldUntil = 0, now.Add(interval)
	}
	m.heldLight++
}

// remove takes a job that is no longer placed out of the counts.
func (m *demand) remove(p *placedJob) {
	if p.light {
		m.active--
		m.markPrefilled(p)
	}
}

func (d *Dispatcher) demandOf(service string) *demand {
	m := d.demands[service]
	if m == nil {
		m = &demand{}
		d.demands[service] = m
	}
	return m
}

// recordArrival counts a job that is submitted.
func (d *Dispatcher) recordArrival(now time.Time, job *Job) {
	f := d.services[job.Service]
	if f == nil {
		return
	}
	m := d.demandOf(job.Service)
	if !d.light(job) {
		m.longPrefillRate.add(now, d.cfg.LongRateWindow, f.PrefillMs(job.PromptTokens, 1))
		m.longValueRate.add(now, d.cfg.LongRateWindow, d.value(job))
		return
	}
	m.lightRate.add(now, d.cfg.RateWindow, 1)
	if !job.Due.IsZero() {
		m.lightGoalMs = engine.Ms(job.Due.Sub(job.Arrived))
	}
}

// prefillPrice returns the value of a ms of an engine's prefill time to the
// other long jobs of the service: little while there is capacity for all of
// them, and what they earn per ms when they need all engines. It is zero while no
// engine prefills a long prompt: engines are not left idle for jobs that may come.
func (d *Dispatcher) prefillPrice(now time.Time, job *Job) float64 {
	m := d.demandOf(job.Service)
	ownWeight := math.Exp(-float64(now.Sub(job.Arrived))/float64(d.cfg.LongRateWindow)) / d.cfg.LongRateWindow.Seconds()
	msPerS := m.longPrefillRate.current(now, d.cfg.LongRateWindow) - ownWeight*d.services[job.Service].PrefillMs(job.PromptTokens, 1)
	valuePerS := m.longValueRate.current(now, d.cfg.LongRateWindow) - ownWeight*d.value(job)
	engines := float64(len(d.pools[job.Service]))
	if msPerS <= 0 || valuePerS <= 0 || engines == 0 || !d.prefillsLong(job.Service) {
		return 0
	}
	const msPerSecond = 1000
	load := msPerS / msPerSecond / engines
	scarcity := min(1, load)
	return valuePerS / msPerS * scarcity * scarcity
}

// prefillsLong reports whether an engine of the service prefills a part of a long prompt.
func (d *Dispatcher) prefillsLong(service string) bool {
	return slices.ContainsFunc(d.pools[service], func(e *endpoint) bool {
		return slices.ContainsFunc(e.parts, func(p *part) bool { return !p.job.started && !p.job.light })
	})
}
