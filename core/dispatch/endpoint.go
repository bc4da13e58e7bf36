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
	// reading is the part in the engine's model; nil for a plain service.
	reading *engine.Part
	// receiver says that the job's request is at this endpoint.
	receiver bool
	// tokens is the memory that the job holds here.
	tokens int
}

// endpoint is what the dispatcher believes of an endpoint.
type endpoint struct {
	Endpoint
	engine *engine.Figures
	// model follows what the engine does; nil for a plain service.
	model *engine.Model
	parts map[string]*part
	// received is the number of requests here, and helped that of the prompts
	// whose parts it reads for others.
	received int
	helped   int
	// context is the memory in tokens that the requests here hold.
	context int
	// suspectUntil is when it gets work again after failures in a row.
	suspectUntil time.Time
	failures     int
	// failedAt is when it failed last.
	failedAt time.Time
}

func (e *endpoint) usable(now time.Time) bool { return !now.Before(e.suspectUntil) }

// room is the memory in tokens that may still be given out.
func (e *endpoint) room(share float64) int {
	return int(float64(e.engine.MemoryTokens)*share) - e.context
}

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
		e.setEngine(d.services[e.Service])
	}
}

// setEngine takes the figures of the endpoint's engine. What it was given before
// is known by the figures that held then.
func (e *endpoint) setEngine(f *engine.Figures) {
	if f == nil {
		e.engine, e.model = nil, nil
		return
	}
	if e.model == nil || e.engine == nil || *e.engine != *f {
		e.engine, e.model = f, engine.NewModel(f)
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
		e.setEngine(d.services[spec.Service])
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

// ms and fromMs convert times to the unit of the engines' figures.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
