package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"cornelsaddle.example/cornelsaddle/core/findings"
)

// Differences returns the values in which two deployments differ in their meaning. Routes,
// services and organisations are compared by name, so that their order makes no difference, nor
// does the scale of a route's weights. The versions are not compared.
func Differences(before, after Deployment) ([]findings.Difference, error) {
	return findings.Compare(normalise(before), normalise(after))
}

// normalisedDeployment has equal values for deployments that serve requests in the same way.
type normalisedDeployment struct {
	Routes        map[string]normalisedRoute        `json:"routes"`
	Services      map[string]normalisedService      `json:"services"`
	Organisations map[string]normalisedOrganisation `json:"organisations"`
	Limits        normalisedLimits                  `json:"limits"`
}

type normalisedRoute struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Selected reports whether the route gets the requests to its host and prefix.
	Selected bool   `json:"selected"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Goal     string `json:"goal"`
	Gap      string `json:"gap"`
	Priority int    `json:"priority"`
	// Shares are the weights of the services, without a common factor.
	Shares      map[string]int `json:"shares"`
	MaxAttempts int            `json:"max_attempts"`
	Public      bool           `json:"public"`
	Resumable   bool           `json:"resumable"`
	Prompts     bool           `json:"prompts"`
}

type normalisedService struct {
	// Engine is nil for a plain service and for one whose cost parameters are not usable.
	Engine        *normalisedEngine `json:"engine,omitempty"`
	ColdFor       string            `json:"cold_for"`
	ColdPerSecond float64           `json:"cold_per_second"`
}

// normalisedEngine has the fields of engine.CostModel.
type normalisedEngine struct {
	Slots              int     `json:"slots"`
	MemoryTokens       int     `json:"memory_tokens"`
	Stride             int     `json:"stride"`
	ChunkTokens        int     `json:"chunk_tokens"`
	StepMs             float64 `json:"step_ms"`
	PerSequenceMs      float64 `json:"per_sequence_ms"`
	ContextPer1kMs     float64 `json:"context_per_1k_ms"`
	PrefillTokensPerMs float64 `json:"prefill_tokens_per_ms"`
	PairsPerMillionMs  float64 `json:"pairs_per_million_ms"`
}

type normalisedOrganisation struct {
	// Keys are the first digits of the keys' digests: the keys are secret.
	Keys     []string `json:"key_digests"`
	Priority *int     `json:"priority,omitempty"`
}

type normalisedLimits struct {
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxBodyBytes   int    `json:"max_body_bytes"`
	HeaderTimeout  string `json:"header_timeout"`
	IdleTimeout    string `json:"idle_timeout"`
	BodyGrace      string `json:"body_grace"`
	BodyRate       int    `json:"body_rate"`
}

// normalise returns the deployment in a form that is equal for equal meanings.
func normalise(d Deployment) normalisedDeployment {
	table := NewTable(d)
	m := normalisedDeployment{
		Routes:        make(map[string]normalisedRoute),
		Services:      make(map[string]normalisedService),
		Organisations: make(map[string]normalisedOrganisation),
		Limits: normalisedLimits{
			MaxHeaderBytes: d.Limits.MaxHeaderBytes, MaxBodyBytes: d.Limits.MaxBodyBytes,
			HeaderTimeout: d.Limits.HeaderTimeout.String(), IdleTimeout: d.Limits.IdleTimeout.String(),
			BodyGrace: d.Limits.BodyGrace.String(), BodyRate: d.Limits.BodyRate,
		},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		m.Routes[uniqueName(m.Routes, r.Name)] = normalisedRoute{
			Host: strings.ToLower(r.Host), Prefix: r.Prefix, Selected: table.routeInsteadOf(r) == r, Kind: r.Kind.String(),
			Timeout: r.Timeout.String(), Goal: r.Goal.String(), Gap: r.Gap.String(), Priority: r.Priority, Shares: r.weights(),
			MaxAttempts: r.MaxAttempts, Public: r.Public, Resumable: r.Kind == Streaming && r.Resumable, Prompts: r.Prompts,
		}
	}
	for i := range d.Services {
		// A later service of the same name replaces an earlier one, as in the table.
		s := &d.Services[i]
		service := normalisedService{ColdFor: s.ColdFor.String(), ColdPerSecond: s.ColdPerSecond}
		if s.Engine != nil && s.Engine.Valid() {
			e := normalisedEngine(*s.Engine)
			service.Engine = &e
		}
		m.Services[s.Name] = service
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		m.Organisations[uniqueName(m.Organisations, o.Name)] = normalisedOrganisation{Keys: table.keyDigests(o), Priority: o.priority()}
	}
	return m
}

// uniqueName returns the name, with a number appended if the map has an entry of that name.
func uniqueName[V any](m map[string]V, name string) string {
	free := name
	for n := 2; ; n++ {
		if _, taken := m[free]; !taken {
			return free
		}
		free = name + "#" + strconv.Itoa(n)
	}
}

// weights returns the weights by service, divided by their greatest common divisor and without
// those that are 0. If one is negative or all are 0, they remain as they are.
func (r *Route) weights() map[string]int {
	weights := make(map[string]int, len(r.Shares))
	divisor := 0
	for _, s := range r.Shares {
		weights[s.Service] += s.Weight
	}
	for _, w := range weights {
		if w < 0 {
			return weights
		}
		divisor = greatestCommonDivisor(divisor, w)
	}
	if divisor == 0 {
		return weights
	}
	for service, w := range weights {
		if w == 0 {
			delete(weights, service)
			continue
		}
		weights[service] = w / divisor
	}
	return weights
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// digestDigits is the number of hexadecimal digits of a key's digest that are shown; enough
// that two keys don't share them.
const digestDigits = 16

// keyDigests returns the digests, in order, of the keys with which requests count as the
// organisation's.
func (t *Table) keyDigests(o *Organisation) []string {
	digests := make([]string, 0, len(o.Keys))
	for _, key := range o.Keys {
		if t.Organisation(key) == o {
			sum := sha256.Sum256([]byte(key))
			digests = append(digests, hex.EncodeToString(sum[:])[:digestDigits])
		}
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}

// priority returns the organisation's priority, or nil if it has none of its own.
func (o *Organisation) priority() *int {
	if !o.HasPriority {
		return nil
	}
	return &o.Priority
}
