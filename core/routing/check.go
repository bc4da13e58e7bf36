package routing

import (
	"fmt"
	"strings"
	"time"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

// Field names a value of a deployment, independently of the document that it is read from.
type Field uint8

// Fields that findings refer to.
const (
	// FieldNone stands for the whole entry or, without one, for the whole list.
	FieldNone Field = iota
	FieldName
	FieldPrefix
	FieldTimeout
	FieldGoal
	FieldGap
	FieldMaxAttempts
	FieldShares
	FieldShareWeight
	FieldEngine
	FieldColdFor
	FieldKeys
	FieldBodyGrace
	FieldBodyRate
)

// Part is one of the lists of a deployment, or its limits.
type Part uint8

// The parts of a deployment.
const (
	PartRoutes Part = iota
	PartServices
	PartOrganisations
	PartLimits
)

// NoIndex is the Index or Item of a Place that refers to a whole list.
const NoIndex = -1

// Place is a value in a deployment.
type Place struct {
	Part Part
	// Index is the position in the list.
	Index int
	Field Field
	// Item is the position in the field, if that is a list itself.
	Item int
}

// Finding is a fault of a deployment.
type Finding struct {
	Kind  findings.Kind
	Place Place
	Text  string
}

// Environment is what a deployment is checked against besides itself.
type Environment struct {
	// MaxAttempts is the largest number of endpoints to which the retry budget lets one
	// request be sent; zero if it is unknown.
	MaxAttempts int
	// Endpoints is the number of endpoints by service; nil if it is unknown.
	Endpoints map[string]int
}

// Check looks for values that can't be used, entries that no request can reach and limits
// that contradict each other.
func Check(d Deployment, env Environment) []Finding {
	c := &checker{table: NewTable(d), deployment: d, env: env}
	c.routes()
	c.services()
	c.organisations()
	c.bodyLimits()
	return c.findings
}

type checker struct {
	table      *Table
	deployment Deployment
	env        Environment
	findings   []Finding
}

func (c *checker) add(kind findings.Kind, place Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, place, fmt.Sprintf(format, args...)})
}

func (c *checker) routes() {
	if len(c.deployment.Routes) == 0 {
		c.add(findings.Invalid, Place{PartRoutes, NoIndex, FieldNone, NoIndex}, "the deployment has no routes")
	}
	seen := make(map[string]bool)
	for i := range c.deployment.Routes {
		r := &c.deployment.Routes[i]
		if seen[r.Name] {
			c.add(findings.Invalid, Place{PartRoutes, i, FieldName, NoIndex}, "an earlier route has the name %q as well", r.Name)
		}
		seen[r.Name] = true
		c.reach(i, r)
		c.shares(i, r)
		c.limits(i, r)
	}
}

// reach checks that the table selects the route for its own host and prefix. The longest prefix
// wins, so that a route which doesn't get this path gets no other one either.
func (c *checker) reach(i int, r *Route) {
	place := Place{PartRoutes, i, FieldPrefix, NoIndex}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.add(findings.NeverMatches, place, "the prefix %q doesn't begin with a slash, as all paths do", r.Prefix)
		return
	}
	// The table compares hosts without the port. A colon stays only within an IPv6 address.
	if strings.Contains(r.Host, ":") && !strings.HasPrefix(r.Host, "[") {
		c.add(findings.NeverMatches, place, "no request has the host %q: it is compared without a port", r.Host)
		return
	}
	if other := c.table.routeInsteadOf(r); other != r {
		c.add(findings.NeverMatches, place, "route %q gets all requests to host %q and prefix %q", other.Name, r.Host, r.Prefix)
	}
}

// routeInsteadOf returns the route that gets the requests to the host and the prefix of r, which
// is r itself unless another one has both.
func (t *Table) routeInsteadOf(r *Route) *Route {
	path := r.Prefix
	if path == "" {
		path = "/"
	}
	return t.Route(r.Host+":80", path)
}

func (c *checker) shares(i int, r *Route) {
	if len(r.Shares) == 0 {
		c.add(findings.Invalid, Place{PartRoutes, i, FieldNone, NoIndex}, "the route has no service")
		return
	}
	total := 0
	for n, s := range r.Shares {
		total += max(0, s.Weight)
		if c.table.Service(s.Service) == nil {
			c.add(findings.Invalid, Place{PartRoutes, i, FieldShares, n}, "there is no service %q", s.Service)
		}
		if s.Weight < 0 {
			c.add(findings.Invalid, Place{PartRoutes, i, FieldShareWeight, n}, "the weight is negative")
		}
	}
	for n, s := range r.Shares {
		switch {
		case s.Weight == 0 && total > 0:
			c.add(findings.NeverMatches, Place{PartRoutes, i, FieldShareWeight, n}, "service %q gets no request of the route: its weight is 0", s.Service)
		case s.Weight == 0 && n == 0:
			c.add(findings.Invalid, Place{PartRoutes, i, FieldShares, NoIndex}, "the sum of the weights is not positive")
		}
	}
}

func (c *checker) limits(i int, r *Route) {
	at := func(f Field) Place { return Place{PartRoutes, i, f, NoIndex} }
	for _, v := range []struct {
		field Field
		name  string
		value int64
	}{{FieldTimeout, "timeout", int64(r.Timeout)}, {FieldGoal, "goal", int64(r.Goal)}, {FieldGap, "gap", int64(r.Gap)}} {
		if v.value < 0 {
			c.add(findings.Invalid, at(v.field), "the %s is negative", v.name)
		}
	}
	// Without a timeout the caller's applies.
	if r.Timeout > 0 {
		if r.Goal > r.Timeout {
			c.add(findings.Contradiction, at(FieldTimeout), "the timeout, %v, is under the latency goal, %v", r.Timeout, r.Goal)
		}
		if r.Gap > r.Timeout {
			c.add(findings.Contradiction, at(FieldGap), "the target for gaps, %v, is over the timeout, %v", r.Gap, r.Timeout)
		}
	}
	if c.env.MaxAttempts > 0 && r.MaxAttempts > c.env.MaxAttempts {
		c.add(findings.Contradiction, at(FieldMaxAttempts), "the retry budget lets a request be sent to %d endpoints at most, and the route to %d", c.env.MaxAttempts, r.MaxAttempts)
	}
}

// maxBodyTime is the time from which a body that is as slow as the limits allow holds its connection for
// longer than any caller waits.
const maxBodyTime = 24 * time.Hour

// bodyLimits checks the limits on the time that bodies take to arrive.
func (c *checker) bodyLimits() {
	l := c.deployment.Limits
	at := func(f Field) Place { return Place{PartLimits, NoIndex, f, NoIndex} }
	if l.BodyGrace < 0 {
		c.add(findings.Invalid, at(FieldBodyGrace), "the time for a body is negative")
	}
	if l.BodyRate < 0 {
		c.add(findings.Invalid, at(FieldBodyRate), "the rate of a body is negative")
	}
	if longest := l.BodyTime(int64(l.MaxBodyBytes)); longest > maxBodyTime {
		c.add(findings.Contradiction, at(FieldBodyRate), "a body of %d bytes, as the limit on bodies allows, may take %v to arrive", l.MaxBodyBytes, longest.Round(time.Second))
	}
}

func (c *checker) services() {
	used := make(map[string]bool)
	for _, r := range c.deployment.Routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	for i := range c.deployment.Services {
		s := &c.deployment.Services[i]
		switch {
		case c.table.Service(s.Name) != s:
			c.add(findings.NeverMatches, Place{PartServices, i, FieldName, NoIndex}, "a later service has the name %q as well and replaces this one", s.Name)
		case !used[s.Name]:
			c.add(findings.NeverMatches, Place{PartServices, i, FieldNone, NoIndex}, "no route leads to service %q", s.Name)
		case c.env.Endpoints != nil && c.env.Endpoints[s.Name] == 0:
			c.add(findings.NeverMatches, Place{PartServices, i, FieldNone, NoIndex}, "service %q has no endpoint that gets new work", s.Name)
		}
		if s.Engine != nil && !s.Engine.Valid() {
			c.add(findings.Invalid, Place{PartServices, i, FieldEngine, NoIndex}, "the cost parameters are not usable: the service counts as a plain one")
		}
		if s.ColdFor > 0 && s.ColdPerSecond == 0 {
			c.add(findings.Contradiction, Place{PartServices, i, FieldColdFor, NoIndex}, "endpoints are cold after their start, but without a limit on their requests")
		}
	}
}

// organisations checks the API keys. The texts don't contain them, as they are secret.
func (c *checker) organisations() {
	for i := range c.deployment.Organisations {
		o := &c.deployment.Organisations[i]
		if len(o.Keys) == 0 {
			c.add(findings.NeverMatches, Place{PartOrganisations, i, FieldKeys, NoIndex}, "the organisation %q has no API key", o.Name)
		}
		for n, key := range o.Keys {
			switch other := c.table.Organisation(key); {
			case key == "":
				c.add(findings.Invalid, Place{PartOrganisations, i, FieldKeys, n}, "the API key is empty: requests without a key would count as the organisation's")
			case other != o:
				c.add(findings.NeverMatches, Place{PartOrganisations, i, FieldKeys, n}, "the API key is also listed for %q, to which its requests count", other.Name)
			}
		}
	}
}
