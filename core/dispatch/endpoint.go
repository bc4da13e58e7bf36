package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/ratelimit"
)

// Endpoint describes an endpoint as it is registered.
type Endpoint struct {
	// ID identifies one incarnation of an endpoint.
	ID      string
	Service string
	// Domain is its failure domain; empty if it is not known.
	Domain string
	// Started distinguishes successive incarnations with the same ID; zero if it is not
	// known.
	Started int64
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// ColdUntil is when it will be warm, as far as it has stated that; zero if it has
	// not.
	ColdUntil time.Time
}

// Service describes a pool of endpoints as it is configured.
type Service struct {
	Name string
	// Engine is the cost model of model engines; nil for a plain
	// service.
	Engine *engine.CostModel
	// Cold is how the service's endpoints are after their start.
	Cold Cold
}

// part is the work of one job at one endpoint.
type part struct {
	job *placedJob
	// model is the model that the part was added to; nil for none. prefill is
	// its pending prefill, and decoding is set while the job decodes here.
	model    *engine.Model
	prefill  *engine.PrefillPart
	decoding bool
	// receiver is set at the endpoint that receives the job's request.
	receiver bool
	// tokens is the KV-cache memory, in tokens, that the job holds here.
	tokens int
}

// endpoint is the dispatcher's state of an endpoint.
type endpoint struct {
	Endpoint
	// index is the position in the pool of the service.
	index  int
	engine *engine.CostModel
	// model simulates the engine's passes; nil for a plain service.
	model *engine.Model
	parts []*part
	// received is the number of jobs whose requests are here, and helped the
	// number of jobs of other receivers whose prompts it helps to prefill.
	received int
	helped   int
	// heldTokens is the KV-cache memory, in tokens, that the jobs here hold.
	heldTokens int
	// backoffUntil is when the back-off after consecutive failures ends.
	backoffUntil time.Time
	failures     int
	// silent is set while the last that is known of the endpoint is an answer that never began. It
	// then gets one job at a time.
	silent bool
	// coldUntil is when the endpoint is no longer cold.
	coldUntil time.Time
	// limit is the limit that the endpoint has named; nil if it has none.
	limit *Limit
	// bucket bounds the requests of an endpoint that is cold or has a limit.
	bucket ratelimit.Bucket
	// load is the expected work of the jobs here, of a plain service.
	load plainLoad
	// modelScale is the factor by which an engine's cost model is scaled for its pace; zero is as 1.
	modelScale int
	// helperOnly is set, for the present decision, if the endpoint may get no request.
	helperOnly bool
}

func (e *endpoint) usable(now time.Time) bool { return !now.Before(e.backoffUntil) && !e.awaitsProbe() }

// freeTokens returns the KV-cache memory, in tokens, that is left for
// placements if they may use the given share of it.
func (e *endpoint) freeTokens(share float64) int {
	return int(float64(e.engine.MemoryTokens)*share) - e.heldTokens
}

// backOff withholds work from the endpoint for base, doubled with each
// consecutive failure up to limit. Failures during a back-off don't extend it,
// so that requests that were sent concurrently count once.
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
	e.silent = false
	e.backoffUntil = time.Time{}
}

// SetServices replaces the configured services.
func (d *Dispatcher) SetServices(now time.Time, services []Service) {
	clear(d.services)
	clear(d.cold)
	for _, s := range services {
		d.services[s.Name] = s.Engine
		d.cold[s.Name] = s.Cold
	}
	for _, e := range d.endpoints {
		d.setEngine(now, e)
		d.recount(now, e)
	}
	for _, p := range d.placed {
		d.reclassify(p)
	}
}

// reclassify counts a placed job by the present cost model of its service. It may have
// been adopted before that was known.
func (d *Dispatcher) reclassify(p *placedJob) {
	light := d.light(&p.Job)
	if light == p.light {
		return
	}
	m := d.demandOf(p.Service)
	m.remove(p)
	p.light = light
	m.add(p, d.services[p.Service])
	if p.started {
		m.markPrefilled(p)
	}
}

// setEngine applies the cost model of the endpoint's service. If it has
// changed, the parts move to a new model, in which pending prefills start over.
func (d *Dispatcher) setEngine(now time.Time, e *endpoint) {
	f := d.engineOf(e)
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

// addToModel adds a part to its endpoint's model.
func (d *Dispatcher) addToModel(now time.Time, e *endpoint, p *part) {
	p.model, p.prefill, p.decoding = e.model, nil, false
	switch {
	case e.model == nil:
	case !p.job.started:
		p.prefill = e.engine.NewPrefillPart(p.job.PromptTokens, 1+len(p.job.Helpers))
		e.model.Add(now, p.prefill)
	case p.receiver:
		p.decoding = true
		e.model.AddDecoding(now, 1, p.contextTokens())
	}
}

// contextTokens returns the context, in tokens, that the job adds to each
// decode step at its receiver.
func (p *part) contextTokens() int { return p.tokens / (1 + len(p.job.Helpers)) }

// startDecode moves a part from prefill to decode. The first event marks the
// end of a pass of the receiver; of a helper it shows only that its part has
// been prefilled.
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
		p.model.AddDecoding(now, 1, p.contextTokens())
	}
	if p.prefill != nil {
		p.model.PrefillCompleted(now, p.prefill)
		p.prefill = nil
	}
}

// release removes a part from its model.
func (p *part) release(now time.Time) {
	if p.model == nil {
		return
	}
	p.cancelPrefill(now)
	if p.decoding {
		p.decoding = false
		p.model.AddDecoding(now, -1, -p.contextTokens())
	}
}

func (p *part) cancelPrefill(now time.Time) {
	if p.prefill != nil {
		p.model.Remove(now, p.prefill)
		p.prefill = nil
	}
}

// SetEndpoints replaces the endpoints that may get work. Jobs at endpoints that
// are no longer listed stay placed until they finish, and count again if their
// endpoints are listed again. Endpoints count as cold that join a service that has, or had
// before, others, and those of which another incarnation is listed.
func (d *Dispatcher) SetEndpoints(now time.Time, list []Endpoint) {
	kept := make(map[string]*endpoint, len(list))
	added := make(map[string]*endpoint)
	d.pools = make(map[string][]*endpoint)
	for _, spec := range list {
		e := d.endpoints[spec.ID]
		starts := e != nil && e.Started != spec.Started
		if e == nil {
			e = &endpoint{}
			added[spec.ID] = e
			starts = d.demandOf(spec.Service).listed
		}
		if starts {
			e.cool(now.Add(d.cold[spec.Service].For))
			// An endpoint that comes back several times in a second gets no burst each time.
			e.bucket.Empty(now)
		}
		e.Endpoint = spec
		e.cool(spec.ColdUntil)
		d.setEngine(now, e)
		d.recount(now, e)
		kept[spec.ID] = e
		d.pools[spec.Service] = append(d.pools[spec.Service], e)
	}
	d.endpoints = kept
	d.keepLimits(now)
	for service := range d.pools {
		d.sortPool(service)
	}
	for service := range d.pools {
		m := d.demandOf(service)
		m.emptySince, m.listed = time.Time{}, true
	}
	for service, m := range d.demands {
		if len(d.pools[service]) == 0 && m.emptySince.IsZero() {
			m.emptySince = now
		}
	}
	d.addPartsTo(now, added)
}

// sortPool sorts the endpoints of a service by their IDs, engines with a limit last: the
// first ones are kept free for light jobs, which are many. If near endpoints are preferred, the failure
// domains of engines alternate.
func (d *Dispatcher) sortPool(service string) {
	pool, engines := d.pools[service], d.services[service] != nil
	slices.SortFunc(pool, func(a, b *endpoint) int {
		if engines && (a.limit == nil) != (b.limit == nil) {
			return cmp.Compare(boolRank(a.limit != nil), boolRank(b.limit != nil))
		}
		return cmp.Compare(a.ID, b.ID)
	})
	if engines && d.cfg.RemotePenalty > 0 {
		limited := slices.IndexFunc(pool, func(e *endpoint) bool { return e.limit != nil })
		if limited < 0 {
			limited = len(pool)
		}
		spreadDomains(pool[:limited])
	}
	for i, e := range pool {
		e.index = i
	}
}

// addPartsTo adds the parts of placed jobs to endpoints that are new to the dispatcher.
func (d *Dispatcher) addPartsTo(now time.Time, added map[string]*endpoint) {
	if len(added) == 0 {
		return
	}
	for _, p := range d.placed {
		for i, id := range p.endpoints() {
			if e := added[id]; e != nil {
				d.addPart(now, e, p, i)
			}
		}
	}
}
