package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// Endpoint is what the registry says of an endpoint.
type Endpoint struct {
	// ID names one incarnation of an endpoint.
	ID      string
	Service string
	Domain  string
	// Slots is the number of requests that it works on at once.
	Slots int
}

// Service is what the configuration says of a pool of endpoints.
type Service struct {
	Name string
	// Engine has the figures of model engines; nil for a plain service.
	Engine *engine.Figures
}

// part is the work of one job at one endpoint.
type part struct {
	job *placed
	// readMs is the reading time of the part.
	readMs float64
	// receiver says that the job's request is at this endpoint.
	receiver bool
	// tokens is the memory that the job holds here.
	tokens int
}

// endpoint is what the dispatcher believes of an endpoint.
type endpoint struct {
	Endpoint
	engine *engine.Figures
	parts  map[string]*part
	// readFree is when all reading that was placed here is done, by prediction.
	readFree time.Time
	// received is the number of requests here, and writers those of them that
	// have begun to write.
	received int
	writers  int
	// context is the memory in tokens that the requests here hold.
	context int
	// suspectUntil is when it gets work again after failures in a row.
	suspectUntil time.Time
	failures     int
	// failedAt is when it failed last.
	failedAt time.Time
}

func (e *endpoint) usable(now time.Time) bool { return !now.Before(e.suspectUntil) }

// backlogMs is the reading that is still to be done.
func (e *endpoint) backlogMs(now time.Time) float64 {
	return max(0, ms(e.readFree.Sub(now)))
}

// room is the memory in tokens that may still be given out.
func (e *endpoint) room(share float64) int {
	return int(float64(e.engine.MemoryTokens)*share) - e.context
}

// passMs is the time of a pass beside its reading.
func (e *endpoint) passMs() float64 { return e.engine.PassMs(e.writers, e.context) }

// failed notes a failure and suspects the endpoint for a while. Failures of
// requests that were sent side by side count once.
func (e *endpoint) failed(now time.Time, cfg Config) {
	if now.Before(e.suspectUntil) {
		return
	}
	e.failures++
	d := cfg.SuspectFor
	for i := 1; i < e.failures && d < cfg.MaxSuspectFor; i++ {
		d *= 2
	}
	e.failedAt = now
	e.suspectUntil = now.Add(min(d, cfg.MaxSuspectFor))
}

func (e *endpoint) served() {
	e.failures = 0
	e.suspectUntil = time.Time{}
}

// SetServices replaces what is known of the services.
func (d *Dispatcher) SetServices(services []Service) {
	clear(d.services)
	for _, s := range services {
		d.services[s.Name] = s.Engine
	}
	for _, e := range d.endpoints {
		e.engine = d.services[e.Service]
	}
}

// SetEndpoints replaces the endpoints that may get work. Jobs at endpoints that
// are gone stay known until they finish.
func (d *Dispatcher) SetEndpoints(list []Endpoint) {
	kept := make(map[string]*endpoint, len(list))
	d.pools = make(map[string][]*endpoint)
	for _, spec := range list {
		e := d.endpoints[spec.ID]
		if e == nil {
			e = &endpoint{parts: make(map[string]*part)}
		}
		e.Endpoint = spec
		e.engine = d.services[spec.Service]
		kept[spec.ID] = e
		d.pools[spec.Service] = append(d.pools[spec.Service], e)
	}
	for _, pool := range d.pools {
		slices.SortFunc(pool, func(a, b *endpoint) int { return compareIDs(a.ID, b.ID) })
	}
	d.endpoints = kept
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
