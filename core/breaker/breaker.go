package breaker

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// Config governs all breakers of a VM.
type Config struct {
	// Failures in a row that open a closed breaker.
	Failures int
	// OpenFor is how long it stays open the first time; it doubles with each
	// trip up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// ProbeShare is the share of requests that may probe, from 0 to 1.
	ProbeShare float64
	// ProbeLimit is how long a probe may take before another is let through.
	ProbeLimit time.Duration
}

// Default is the Config of a VM.
func Default() Config {
	return Config{
		Failures:   3,
		OpenFor:    time.Second,
		MaxOpenFor: 30 * time.Second,
		ProbeShare: 0.125,
		ProbeLimit: 30 * time.Second,
	}
}

// The endpoint chart's names.
const (
	Closed     statechart.State = "closed"
	Open       statechart.State = "open"
	HalfOpen   statechart.State = "half_open"
	Recovering statechart.State = "recovering"

	evSuccess statechart.Event = "success"
	evFailure statechart.Event = "failure"
	evCooled  statechart.Event = "cooled"

	isTripped statechart.Guard = "tripped"
	isRamped  statechart.Guard = "ramped"

	doTrip  statechart.Action = "trip"
	doRamp  statechart.Action = "ramp"
	doProbe statechart.Action = "probe"
	doReset statechart.Action = "reset"
)

// maxTrips bounds the doubling of the open time.
const maxTrips = 16

// Breaker is one endpoint's. It is not safe for concurrent use.
type Breaker struct {
	cfg     Config
	machine *statechart.Machine

	failures int
	trips    int
	until    time.Time
	share    float64
	probe    time.Time
	draw     float64
	now      time.Time
}

// New returns a closed Breaker.
func New(cfg Config, chart *statechart.Chart) (*Breaker, error) {
	b := &Breaker{cfg: cfg}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		isTripped: func() bool { return b.failures >= cfg.Failures },
		isRamped:  func() bool { return 2*b.share >= 1 },
	})
	b.machine = m
	return b, err
}

// State is the chart's state.
func (b *Breaker) State() statechart.State { return b.machine.State() }

// Until is when an open breaker lets the first probe through.
func (b *Breaker) Until() time.Time { return b.until }

// Clean reports whether the breaker knows nothing that a new one does not.
func (b *Breaker) Clean() bool { return b.State() == Closed && b.failures == 0 }

// Admits reports whether a request may go to the endpoint now; draw is the
// request's own, uniform from 0 to 1.
func (b *Breaker) Admits(now time.Time, draw float64) bool {
	if b.State() == Open && !now.Before(b.until) {
		b.fire(evCooled)
	}
	switch b.State() {
	case Open:
		return false
	case HalfOpen:
		return draw < b.share && (b.probe.IsZero() || now.Sub(b.probe) >= b.cfg.ProbeLimit)
	case Recovering:
		return draw < b.share
	}
	return true
}

// Sent notes that an admitted request was sent.
func (b *Breaker) Sent(now time.Time) {
	if b.State() == HalfOpen {
		b.probe = now
	}
}

// Succeeded notes that the endpoint answered.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.fire(evSuccess)
}

// Failed notes that the endpoint failed. The draw, uniform from 0 to 1, spreads
// the time at which the first probe goes.
func (b *Breaker) Failed(now time.Time, draw float64) {
	b.failures++
	b.now, b.draw = now, draw
	b.fire(evFailure)
}

// fire hands the event to the chart and carries out its actions. The chart
// knows each event in each state, as the loader checks.
func (b *Breaker) fire(ev statechart.Event) {
	actions, err := b.machine.Fire(ev)
	if err != nil {
		return
	}
	for _, a := range actions {
		b.do(a)
	}
}

func (b *Breaker) do(a statechart.Action) {
	switch a {
	case doTrip:
		b.until = b.now.Add(b.openFor())
		b.trips = min(b.trips+1, maxTrips)
	case doProbe:
		b.share = b.cfg.ProbeShare
		b.probe = time.Time{}
	case doRamp:
		b.share *= 2
	case doReset:
		b.failures, b.trips = 0, 0
	}
}

// openFor doubles with each trip and is spread from half to one and a half.
func (b *Breaker) openFor() time.Duration {
	d := b.cfg.OpenFor
	for i := 0; i < b.trips && d < b.cfg.MaxOpenFor; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxOpenFor)
	return time.Duration(float64(d) * (0.5 + b.draw))
}
