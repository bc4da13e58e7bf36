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

func (d *Dispatcher) rate(service string) *rate {
	r := d.rates[service]
	if r == nil {
		r = &rate{}
		d.rates[service] = r
	}
	return r
}
