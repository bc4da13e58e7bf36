package dispatch

import (
	"math"
	"time"
)

// rate averages arrivals over a window, with exponential decay.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, window time.Duration) {
	r.decay(now, window)
	r.perSecond += 1 / window.Seconds()
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

// lights is what is known of a service's light jobs.
type lights struct {
	rate rate
	// goalMs is that of the last one.
	goalMs float64
	// active is the number of those that wait or were placed.
	active int
}

func (d *Dispatcher) lightsOf(service string) *lights {
	l := d.lights[service]
	if l == nil {
		l = &lights{}
		d.lights[service] = l
	}
	return l
}
