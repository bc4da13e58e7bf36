package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// Endpoint is what the registry says of an endpoint.
type Endpoint struct {
	// ID names one incarnation of an endpoint.
	ID      string
	Service string
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
	job *placedJob
	// model is the one that has the part; nil for none. reading is what it reads,
	// and writes says that the request writes there.
	model    *engine.Model
	prefill  *engine.Part
	decoding bool
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
	parts []*part
	// received is the number of requests here, and helped that of the prompts
	// whose parts it reads for others.
	received int
	helped   int
	// heldTokens is the memory in tokens that the requests here hold.
	heldTokens int
	// backoffUntil is when it gets work again after failures in a row.
	backoffUntil time.Time
	failures     int
}

func (e *endpoint) usable(now time.Time) bool { return !now.Before(e.backoffUntil) }

// freeTokens is the memory in tokens that may still be given out.
func (e *endpoint) freeTokens(share float64) int {
	return int(float64(e.engine.MemoryTokens)*share) - e.heldTokens
}

// backOff gives the endpoint no work for a while, which doubles with each time
// in a row. What happens to requests that were sent side by side counts once.
func (e *endpoint) backOff(now time.Time, base, limit time.Duration) {
	if now.Before(e.backoffUntil) {
		return
	}
	e.failures++
	d := base
	for i := 1; i < e.failures && d < limit; i++ {
		d *= 2
	}
	e.backoffUntil = now.Add(min(d, limit))
}

func (e *endpoint) recordSuccess() {
	e.failures = 0
	e.backoffUntil = time.Time{}
}

// SetServices replaces what is known of the services.
func (d *Dispatcher) SetServices(now time.Time, services []Service) {
	clear(d.services)
	for _, s := range services {
		d.services[s.Name] = s.Engine
	}
	for _, e := range d.endpoints {
		d.setEngine(now, e)
	}
}

// setEngine takes the figures of the endpoint's engine. Where they are new, its
// parts begin anew in a model of theirs.
func (d *Dispatcher) setEngine(now time.Time, e *endpoint) {
	f := d.services[e.Service]
	if f == e.engine || f != nil && e.engine != nil && *f == *e.engine {
		return
	}
	e.engine, e.model = f, nil
	if f != nil {
		e.model = engine.NewModel(f)
	}
	for _, p := range e.parts {
		d.addToModel(now, e, p)
	}
}

// addToModel gives a part to its endpoint's model.
func (d *Dispatcher) addToModel(now time.Time, e *endpoint, p *part) {
	p.model, p.prefill, p.decoding = e.model, nil, false
	switch {
	case e.model == nil:
	case !p.job.started:
		p.prefill = e.engine.NewPart(p.job.Prompt, 1+len(p.job.Helpers))
		e.model.Add(now, p.prefill)
	case p.receiver:
		p.decoding = true
		e.model.Write(now, 1, p.contextTokens())
	}
}

// contextTokens is what a writer's step costs at its receiver, in tokens.
func (p *part) contextTokens() int { return p.tokens / (1 + len(p.job.Helpers)) }

// startDecode moves a part from reading to writing. The first event tells when a pass
// of the receiver ended; of its helpers it only says that they are done.
func (p *part) startDecode(now time.Time) {
	if p.model == nil {
		return
	}
	if !p.receiver {
		p.cancelPrefill(now)
		return
	}
	if !p.decoding {
		p.decoding = true
		p.model.Write(now, 1, p.contextTokens())
	}
	if p.prefill != nil {
		p.model.Read(now, p.prefill)
		p.prefill = nil
	}
}

// release takes a part out of its model.
func (p *part) release(now time.Time) {
	if p.model == nil {
		return
	}
	p.cancelPrefill(now)
	if p.decoding {
		p.decoding = false
		p.model.Write(now, -1, -p.contextTokens())
	}
}

func (p *part) cancelPrefill(now time.Time) {
	if p.prefill != nil {
		p.model.Remove(now, p.prefill)
		p.prefill = nil
	}
}

// SetEndpoints replaces the endpoints that may get work. Jobs at endpoints that
// are gone stay known until they finish.
func (d *Dispatcher) SetEndpoints(now time.Time, list []Endpoint) {
	kept := make(map[string]*endpoint, len(list))
	d.pools = make(map[string][]*endpoint)
	for _, spec := range list {
		e := d.endpoints[spec.ID]
		if e == nil {
			e = &endpoint{}
		}
		e.Endpoint = spec
		d.setEngine(now, e)
		kept[spec.ID] = e
		d.pools[spec.Service] = append(d.pools[spec.Service], e)
	}
	for _, pool := range d.pools {
		slices.SortFunc(pool, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	d.endpoints = kept
}
