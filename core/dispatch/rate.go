package dispatch

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// rate averages arrivals over a window, with exponential decay.
type rate struct {
	perSecond float64
	at        time.Time
}

// add counts an amount.
func (r *rate) add(now time.Time, window time.Duration, amount float64) {
	r.decay(now, window)
	r.perSecond += amount / window.Seconds()
}

// now returns the arrivals a second.
func (r *rate) now(now time.Time, window time.Duration) float64 {
	r.decay(now, window)
	return r.perSecond
}

func (r *rate) decay(now time.Time, window time.Duration) {
	if !r.at.IsZero() && now.After(r.at) {
		r.perSecond *= math.Exp(-float64(now.Sub(r.at)) / float64(window))
	}
	r.at = now
}

// demand is what jobs ask of a service.
type demand struct {
	// lights counts arrivals of light jobs, and lightGoalMs is the last one's.
	lights      rate
	lightGoalMs float64
	// longMs is the reading time of the long jobs that arrive, and longWorth
	// their worth.
	longMs    rate
	longWorth rate
	// active is the number of light jobs at engines, and unreadMs what is still to
	// be read of them.
	active   int
	unreadMs float64
}

// entered counts a job that goes to engines.
func (m *demand) entered(p *placed, f *engine.Figures) {
	if !p.light {
		return
	}
	m.active++
	p.unreadMs = f.ReadMs(p.Prompt, 1)
	m.unreadMs += p.unreadMs
}

// read notes that a job's prompt is read.
func (m *demand) read(p *placed) {
	m.unreadMs -= p.unreadMs
	p.unreadMs = 0
}

// left counts a job that is gone.
func (m *demand) left(p *placed) {
	if p.light {
		m.active--
		m.read(p)
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

// note counts a job that arrives.
func (d *Dispatcher) note(now time.Time, job *Job) {
	f := d.services[job.Service]
	if f == nil {
		return
	}
	m := d.demandOf(job.Service)
	if !d.light(job) {
		m.longMs.add(now, d.cfg.LongWindow, f.ReadMs(job.Prompt, 1))
		m.longWorth.add(now, d.cfg.LongWindow, d.worth(job))
		return
	}
	m.lights.add(now, d.cfg.RateWindow, 1)
	if !job.Due.IsZero() {
		m.lightGoalMs = engine.Ms(job.Due.Sub(job.Arrived))
	}
}

// readingPrice is what a ms of an engine's reading is worth to the other long
// jobs of the job's service: little while there is room for all, and as much as
// they make of it where they need all engines.
func (d *Dispatcher) readingPrice(now time.Time, job *Job) float64 {
	m := d.demandOf(job.Service)
	own := math.Exp(-float64(now.Sub(job.Arrived))/float64(d.cfg.LongWindow)) / d.cfg.LongWindow.Seconds()
	msPerS := m.longMs.now(now, d.cfg.LongWindow) - own*d.services[job.Service].ReadMs(job.Prompt, 1)
	worthPerS := m.longWorth.now(now, d.cfg.LongWindow) - own*d.worth(job)
	engines := float64(len(d.pools[job.Service]))
	if msPerS <= 0 || worthPerS <= 0 || engines == 0 {
		return 0
	}
	const msOfSecond = 1000
	load := msPerS / msOfSecond / engines
	scarce := min(1, load)
	return worthPerS / msPerS * scarce * scarce
}
