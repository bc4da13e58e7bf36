package routing

import (
	"slices"
	"strings"
)

// Table is an index over one Deployment.
type Table struct {
	deployment Deployment
	// byHost maps a lower-case host to its routes, longest prefix first.
	byHost        map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
}

// NewTable indexes the deployment, which must not be modified afterwards.
func NewTable(d Deployment) *Table {
	t := &Table{
		deployment:    d,
		byHost:        make(map[string][]*Route),
		services:      make(map[string]*Service, len(d.Services)),
		organisations: make(map[string]*Organisation),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			t.organisations[key] = &d.Organisations[i]
		}
	}
	return t
}

// Version returns the version of the deployment.
func (t *Table) Version() int64 { return t.deployment.Version }

// Limits returns the limits of the deployment.
func (t *Table) Limits() Limits { return t.deployment.Limits }

// Services returns the services of the deployment.
func (t *Table) Services() []Service { return t.deployment.Services }

// Route returns the route with the longest prefix that matches the path on the
// host, or nil if there is none. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the organisation that the API key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.organisations[key] }

// NeedsKey reports whether requests on the route require an organisation's API
// key.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.deployment.Organisations) > 0 && !r.Public
}

// PickService selects a service at random according to the shares' weights. The
// draw must be uniform in [0, 1). It returns an empty name if the route has no
// shares.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
