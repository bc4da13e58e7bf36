package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/ratelimit"
)

const (
	// deputyShare is the share of an endpoint's limit that a dispatcher uses which is not
	// the holder of the service: some VMs don't reach the holder, and the others still use
	// it.
	deputyShare = 0.25
	// limitRetention is the time for which the limit of an endpoint is kept that is not
	// listed, since the endpoint named it.
	limitRetention = 10 * time.Minute
)

// Limit is the limit of an endpoint, as it is passed on when the holder changes.
type Limit struct {
	// Endpoint and Started identify the incarnation of the endpoint.
	Endpoint  string
	Started   int64
	PerSecond float64
	// StatedAt is when the endpoint last named it.
	StatedAt time.Time
}

// LimitChange is a change of an endpoint's limit.
type LimitChange struct {
	Service  string
	Endpoint string
	Started  int64
	// Now and Was are the limit after the change and before.
	Now, Was ratelimit.Limit
}

// ObserveLimit records what the response to a placed job says of its endpoint's limit, and
// reports whether that is a change. A limit ends with a response that names none, if its
// request was placed after the latest response that named it had arrived: responses on
// different connections may overtake each other.
func (d *Dispatcher) ObserveLimit(now time.Time, key JobKey, stated ratelimit.Limit) (LimitChange, bool) {
	p := d.placed[key]
	if p == nil {
		return LimitChange{}, false
	}
	e := d.endpoints[p.Endpoint]
	if e == nil {
		return LimitChange{}, false
	}
	change := LimitChange{Service: e.Service, Endpoint: e.ID, Started: e.Started, Now: stated, Was: e.stated()}
	switch {
	case stated.Stated:
		d.setLimit(now, e, Limit{Endpoint: e.ID, Started: e.Started, PerSecond: stated.PerSecond, StatedAt: now})
	case e.limit == nil || p.placedAt.Before(e.limit.StatedAt):
		return LimitChange{}, false
	default:
		e.limit = nil
		delete(d.limits, e.ID)
		d.sortPool(e.Service)
	}
	return change, change.Now != change.Was
}

// AddLimit records the limit of an endpoint that another dispatcher knows, unless this
// one knows a later one, or the limit is of another incarnation.
func (d *Dispatcher) AddLimit(now time.Time, l Limit) (LimitChange, bool) {
	e := d.endpoints[l.Endpoint]
	if e == nil || e.Started != l.Started || e.limit != nil && !l.StatedAt.After(e.limit.StatedAt) {
		return LimitChange{}, false
	}
	change := LimitChange{
		Service: e.Service, Endpoint: e.ID, Started: e.Started, Now: ratelimit.Limit{Stated: true, PerSecond: l.PerSecond}, Was: e.stated(),
	}
	d.setLimit(now, e, l)
	return change, change.Now != change.Was
}

// setLimit sets the limit of an endpoint. One that had none starts without a token.
func (d *Dispatcher) setLimit(now time.Time, e *endpoint, l Limit) {
	known := e.limit != nil
	e.limit = &l
	d.limits[e.ID] = e.limit
	if !known {
		e.bucket.Empty(now)
		d.sortPool(e.Service)
	}
}

// Limits returns the limits of a service's endpoints, in the order of the pool.
func (d *Dispatcher) Limits(service string) []Limit {
	var list []Limit
	for _, e := range d.pools[service] {
		if e.limit != nil {
			list = append(list, *e.limit)
		}
	}
	return list
}

// KnowsLimits reports whether the limit of an endpoint is known, listed or not.
func (d *Dispatcher) KnowsLimits() bool { return len(d.limits) > 0 }

// Limited returns the number of listed endpoints that have named a limit.
func (d *Dispatcher) Limited() int {
	n := 0
	for _, e := range d.endpoints {
		if e.limit != nil {
			n++
		}
	}
	return n
}

// SetHolder records whether this dispatcher's VM is the holder of the service. A new holder
// does not know how many requests the last one has just placed, and grants none at once.
func (d *Dispatcher) SetHolder(now time.Time, service string, holder bool) {
	if deputy, known := d.deputy[service]; known && deputy == !holder {
		return
	}
	d.deputy[service] = !holder
	for _, e := range d.pools[service] {
		e.bucket.Empty(now)
	}
}

// keepLimits gives listed endpoints the limits that they have named, and drops those of
// other incarnations, and of endpoints that have not been listed for long.
func (d *Dispatcher) keepLimits(now time.Time) {
	for id, l := range d.limits {
		e := d.endpoints[id]
		switch {
		case e == nil:
			if now.Sub(l.StatedAt) > limitRetention {
				delete(d.limits, id)
			}
		case e.Started != l.Started:
			delete(d.limits, id)
			e.limit = nil
		default:
			if e.limit == nil {
				e.bucket.Empty(now)
			}
			e.limit = l
		}
	}
}

// stated returns the limit of the endpoint as a response would state it.
func (e *endpoint) stated() ratelimit.Limit {
	if e.limit == nil {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{Stated: true, PerSecond: e.limit.PerSecond}
}

// boundedRate returns the rate, in requests per second, at which the endpoint may get
// requests from this dispatcher; bounded is false if that is not limited.
func (d *Dispatcher) boundedRate(now time.Time, e *endpoint) (perSecond float64, bounded bool) {
	if e.limit == nil && !now.Before(e.coldUntil) {
		return 0, false
	}
	if c := d.cold[e.Service]; e.cold(now, c) {
		perSecond, bounded = c.PerSecond, true
	}
	if e.limit != nil {
		limit := max(ratelimit.MinPerSecond, e.limit.PerSecond)
		if !bounded || limit < perSecond {
			perSecond, bounded = limit, true
		}
	}
	if bounded && d.deputy[e.Service] {
		perSecond *= deputyShare
	}
	return perSecond, bounded
}

// admits reports whether the endpoint may get a request now.
func (d *Dispatcher) admits(now time.Time, e *endpoint) bool {
	perSecond, bounded := d.boundedRate(now, e)
	return !bounded || e.bucket.Admits(now, perSecond)
}

// countRequests counts the requests that the endpoints of a placement get: that of the job,
// the reservations of the helpers that hold a share of the prompt, and the parts of the prompt at
// cold helpers. A part comes from another engine, so that it does not count for a limit.
func (d *Dispatcher) countRequests(now time.Time, job *Job, p *Placement) {
	for i, id := range p.endpoints() {
		e := d.endpoints[id]
		perSecond, bounded := d.boundedRate(now, e)
		if !bounded || i > len(p.Shares) && !e.cold(now, d.cold[e.Service]) {
			continue
		}
		e.bucket.Take(now, perSecond)
		if i == 0 {
			d.countTurn(now, job)
		}
	}
}
