package prompt

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/breaker"
	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// breakers holds the circuit breakers of endpoints with recent failures; an
// endpoint without an entry has a closed one. It is not safe for concurrent
// use.
type breakers struct {
	cfg   breaker.Config
	chart *statechart.Chart
	byID  map[string]*breaker.Breaker
}

func newBreakers(cfg breaker.Config) *breakers {
	return &breakers{cfg: cfg, chart: statechart.MustLoad("endpoint"), byID: make(map[string]*breaker.Breaker)}
}

// blocked returns the endpoints that a request may not use now. All breakers
// get the request's random draw, so that one request does not probe several
// endpoints at the same time.
func (b *breakers) blocked(now time.Time, draw float64) map[string]bool {
	if len(b.byID) == 0 {
		return nil
	}
	var out map[string]bool
	for id, br := range b.byID {
		if br.Admits(now, draw) {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[id] = true
	}
	return out
}

func (b *breakers) failed(id string, now time.Time, rng *rand.Rand) {
	br := b.byID[id]
	if br == nil {
		var err error
		if br, err = breaker.New(b.cfg, b.chart); err != nil {
			return
		}
		b.byID[id] = br
	}
	br.Failed(now, rng.Float64())
}

func (b *breakers) succeeded(id string) {
	br := b.byID[id]
	if br == nil {
		return
	}
	br.Succeeded()
	if br.Clean() {
		delete(b.byID, id)
	}
}

func (r *Runner) blocked() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breakers.blocked(time.Now(), r.rng.Float64())
}

// neverProbes is the draw of a request that uses only endpoints whose breaker is closed.
const neverProbes = 1

// suspect returns the endpoints whose breaker is not closed.
func (r *Runner) suspect() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breakers.blocked(time.Now(), neverProbes)
}

func (r *Runner) breakerSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.breakers.byID[id]; b != nil {
		b.Sent(time.Now())
	}
}

func (r *Runner) endpointFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakers.failed(id, time.Now(), r.rng)
}

func (r *Runner) endpointSucceeded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakers.succeeded(id)
}

// reopensIn returns the time until the first open breaker admits a probe, or
// zero if none is open.
func (r *Runner) reopensIn() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Duration(0)
	for _, b := range r.breakers.byID {
		if b.State() != breaker.Open {
			continue
		}
		if left := time.Until(b.OpenUntil()); first == 0 || left < first {
			first = left
		}
	}
	return max(0, first)
}
