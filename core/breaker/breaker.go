package breaker

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// Config holds the parameters of all breakers of a VM.
type Config struct {
	// Failures is the number of consecutive failures that opens a closed
	// breaker.
	Failures int
	// OpenFor is the open time after the first trip, before jitter; it doubles
	// with each further trip up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// ProbeShare is the share of requests that may be sent as probes, from 0 to
	// 1.
	ProbeShare float64
	// ProbeLimit is how long a probe may stay unanswered before another is
	// admitted.
	ProbeLimit time.Duration
}

// Default returns the default Config of a VM.
func Default() Config {
	return Config{
		Failures:   3,
		OpenFor:    time.Second,
		MaxOpenFor: 30 * time.Second,
		ProbeShare: 0.125,
		ProbeLimit: 30 * time.Second,
	}
}

// States, events, guards and actions of the endpoint chart.
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

// maxTrips bounds the trip count that determines the open time.
const maxTrips = 16

// Breaker is the circuit breaker of one endpoint. It is not safe for concurrent
// use.
type Breaker struct {
	cfg     Config
	machine *statechart.Machine

	failures    int
	trips       int
	openUntil   time.Time
	admitShare  float64
	probeSentAt time.Time
	jitter      float64
	failedAt    time.Time
}

// New returns a closed Breaker.
func New(cfg Config, chart *statechart.Chart) (*Breaker, error) {
	b := &Breaker{cfg: cfg}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		isTripped: func() bool { return b.failures >= cfg.Failures },
		isRamped:  func() bool { return 2*b.admitShare >= 1 },
	})
	b.machine = m
	return b, err
}

// State returns the state of the breaker's chart.
func (b *Breaker) State() statechart.State { return b.machine.State() }

// OpenUntil returns when an open breaker admits its first probe.
func (b *Breaker) OpenUntil() time.Time { return b.openUntil }

// Clean reports whether the breaker is closed without recorded failures, and
// thus equivalent to a new one.
func (b *Breaker) Clean() bool { return b.State() == Closed && b.failures == 0 }

// Admits reports whether a request may be sent to the endpoint now. The draw is
// the request's own random number, uniform in [0, 1).
func (b *Breaker) Admits(now time.Time, draw float64) bool {
	if b.State() == Open && !now.Before(b.openUntil) {
		b.fire(evCooled)
	}
	switch b.State() {
	case Open:
		return false
	case HalfOpen:
		return draw < b.admitShare && (b.probeSentAt.IsZero() || now.Sub(b.probeSentAt) >= b.cfg.ProbeLimit)
	case Recovering:
		return draw < b.admitShare
	}
	return true
}

// Sent records that an admitted request was sent.
func (b *Breaker) Sent(now time.Time) {
	if b.State() == HalfOpen {
		b.probeSentAt = now
	}
}

// Succeeded records that the endpoint answered a request.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.fire(evSuccess)
}

// Failed records that the endpoint failed a request. The draw, uniform from
// 0 to 1, determines the jitter of the open time.
func (b *Breaker) Failed(now time.Time, draw float64) {
	b.failures++
	b.failedAt, b.jitter = now, draw
	b.fire(evFailure)
}

// fire passes the event to the chart and performs the resulting actions. The
// chart handles each event in each state, which its loader checks.
func (b *Breaker) fire(ev statechart.Event) {
	actions, err := b.machine.Fire(ev)
	if err != nil {
		return
	}
	for _, a := range actions {
		b.perform(a)
	}
}

func (b *Breaker) perform(a statechart.Action) {
	switch a {
	case doTrip:
		b.openUntil = b.failedAt.Add(b.openFor())
		b.trips = min(b.trips+1, maxTrips)
	case doProbe:
		b.admitShare = b.cfg.ProbeShare
		b.probeSentAt = time.Time{}
	case doRamp:
		b.admitShare *= 2
	case doReset:
		b.failures, b.trips = 0, 0
	}
}

// openFor returns the open time: it doubles with each trip and is jittered by a
// factor from 0.5 to 1.5.
func (b *Breaker) openFor() time.Duration {
	d := b.cfg.OpenFor
	for i := 0; i < b.trips && d < b.cfg.MaxOpenFor; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxOpenFor)
	return time.Duration(float64(d) * (0.5 + b.jitter))
}
