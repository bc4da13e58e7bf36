package dispatch

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// rate averages arrivals over a window, with exponential decay.
type rate struct {
	perSecond float64
	updatedAt time.Time
}

// add counts an amount.
func (r *rate) add(now time.Time, window time.Duration, amount float64) {
	r.decay(now, window)
	r.perSecond += amount / window.Seconds()
}

// current returns the arrivals a second.
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

// demand is what jobs ask of a service.
type demand struct {
	// lightRate counts arrivals of light jobs, and lightGoalMs is the last one's.
	lightRate   rate
	lightGoalMs float64
	// longPrefillRate is the reading time of the long jobs that arrive, and longWorth
	// their worth.
	longPrefillRate rate
	longValueRate   rate
	// active is the number of light jobs at engines, and unreadMs what is still to
	// be read of them.
	active    int
	backlogMs float64
}

// add counts a job that goes to engines.
func (m *demand) add(p *placedJob, f *engine.Figures) {
	if !p.light {
		return
	}
	m.active++
	p.prefillMs = f.ReadMs(p.Prompt, 1)
	m.backlogMs += p.prefillMs
}

// markPrefilled notes that a job's prompt is read.
func (m *demand) markPrefilled(p *placedJob) {
	m.backlogMs -= p.prefillMs
	p.prefillMs = 0
}

// remove counts a job that is gone.
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

// recordArrival counts a job that arrives.
func (d *Dispatcher) recordArrival(now time.Time, job *Job) {
	f := d.services[job.Service]
	if f == nil {
		return
	}
	m := d.demandOf(job.Service)
	if !d.light(job) {
		m.longPrefillRate.add(now, d.cfg.LongRateWindow, f.ReadMs(job.Prompt, 1))
		m.longValueRate.add(now, d.cfg.LongRateWindow, d.value(job))
		return
	}
	m.lightRate.add(now, d.cfg.RateWindow, 1)
	if !job.Due.IsZero() {
		m.lightGoalMs = engine.Ms(job.Due.Sub(job.Arrived))
	}
}

// prefillPrice is what a ms of an engine's reading is worth to the other long
// jobs of the job's service: little while there is room for all, and as much as
// they make of it where they need all engines.
func (d *Dispatcher) prefillPrice(now time.Time, job *Job) float64 {
	m := d.demandOf(job.Service)
	ownWeight := math.Exp(-float64(now.Sub(job.Arrived))/float64(d.cfg.LongRateWindow)) / d.cfg.LongRateWindow.Seconds()
	msPerS := m.longPrefillRate.current(now, d.cfg.LongRateWindow) - ownWeight*d.services[job.Service].ReadMs(job.Prompt, 1)
	valuePerS := m.longValueRate.current(now, d.cfg.LongRateWindow) - ownWeight*d.value(job)
	engines := float64(len(d.pools[job.Service]))
	if msPerS <= 0 || valuePerS <= 0 || engines == 0 {
		return 0
	}
	const msPerSecond = 1000
	load := msPerS / msPerSecond / engines
	scarcity := min(1, load)
	return valuePerS / msPerS * scarcity * scarcity
}
