package demo

import (
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

// Names of the length classes that the sample load uses.
const (
	classShort    = "short"
	classMedium   = "medium"
	classLong     = "long"
	classOversize = "oversize"
)

const (
	promptTimeoutMs = 60_000
	callTimeoutMs   = 5_000
	answerTokens    = 16
)

// Deployment is one of the deployments that the demo can run.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	// Model is the model service, Engines the number of its endpoints.
	Model   string
	Engines int
	// Service is the plain service, Instances the number of its endpoints.
	Service   string
	Instances int
	// Booking may not be repeated, Query may.
	Booking string
	Query   string
	// DelayWeight trades the slowdown of short prompts against the first token
	// of long ones.
	DelayWeight   float64
	Organisations []Organisation
	rates         rates
}

// Organisation is a customer of a deployment.
type Organisation struct {
	Name string
	// Weight is its share of the load and of a busy service.
	Weight float64
}

// rates are arrivals a second, by length class, at the sample load.
type rates struct {
	short, medium, long, oversize float64
}

// UnknownDeploymentError says that there is no deployment of the name.
type UnknownDeploymentError struct {
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("no deployment %q; known are %v", e.Name, e.Known)
}

var deployments = map[string]Deployment{
	"kivukoni": {
		Region:         "dar-coast",
		FailureDomains: []string{"kariakoo", "msasani", "upanga"},
		Model:          "scribe-pool",
		Engines:        20,
		Service:        "ledger-desk",
		Instances:      3,
		Booking:        "deposit",
		Query:          "balance",
		DelayWeight:    0.3,
		Organisations: organisations("framers", "conservators", "archivists",
			"bench-4", "bench-5", "bench-6", "bench-7", "bench-8", "bench-9", "bench-10"),
		rates: rates{short: 60, medium: 12, long: 3, oversize: 0.4},
	},
	"vltavske": {
		Region:         "cz-jih",
		FailureDomains: []string{"cz-jih-a", "cz-jih-b", "cz-jih-c"},
		Model:          "saddle-desk",
		Engines:        20,
		Service:        "order-book",
		Instances:      3,
		Booking:        "book",
		Query:          "stock",
		DelayWeight:    3,
		Organisations: organisations("quotes", "guild", "orders",
			"yard-4", "yard-5", "yard-6", "yard-7", "yard-8", "yard-9", "yard-10"),
		rates: rates{short: 40, medium: 10, long: 4, oversize: 0.6},
	},
}

// organisations makes the first three of the names large.
func organisations(names ...string) []Organisation {
	const large, small = 4, 1
	list := make([]Organisation, 0, len(names))
	for i, name := range names {
		weight := float64(small)
		if i < 3 {
			weight = large
		}
		list = append(list, Organisation{name, weight})
	}
	return list
}

// Names lists the deployments.
func Names() []string {
	names := make([]string, 0, len(deployments))
	for name := range deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Lookup returns the deployment of the name.
func Lookup(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return Deployment{}, errors.WithStack(&UnknownDeploymentError{name, Names()})
	}
	d.Name = name
	return d, nil
}

// key is the organisation's key; it opens the demo alone.
func (d *Deployment) key(organisation string) string {
	return "demo-key-" + d.Name + "-" + organisation
}

// document is the deployment's configuration, without its endpoints.
func (d *Deployment) document() configuration.Document {
	doc := configuration.Document{
		Organisations: make(map[string]configuration.Organisation, len(d.Organisations)),
		Services: map[string]configuration.Service{
			d.Model: {Kind: configuration.KindModel, MaxTimeoutMs: 2 * promptTimeoutMs, DelayWeight: d.DelayWeight},
			d.Service: {Kind: configuration.KindPlain, MaxTimeoutMs: 2 * callTimeoutMs, Operations: map[string]configuration.Operation{
				d.Booking: {Idempotent: false},
				d.Query:   {Idempotent: true},
			}},
		},
		Endpoints:     make(map[string]configuration.Endpoint, d.Engines+d.Instances),
		LengthClasses: configuration.DefaultLengthClasses(),
		Limits:        configuration.Limits{RetryBudget: 0.2, CallRetentionHours: 24},
	}
	for _, o := range d.Organisations {
		doc.Organisations[o.Name] = configuration.Organisation{
			KeyDigests: []string{calls.Digest([]byte(d.key(o.Name)))},
			Weight:     o.Weight,
			Services:   []string{d.Model, d.Service},
		}
	}
	return doc
}

// mix is the sample load.
func (d *Deployment) mix(seed uint64, duration time.Duration) loadgen.Mix {
	m := loadgen.Mix{
		Name:        d.Name,
		Seed:        seed,
		DurationMs:  duration.Milliseconds(),
		MaxRequests: maxRequests,
		MaxInFlight: maxInFlight,
		Prompts: []loadgen.Prompts{
			d.prompts(classShort, 1_000, 3_900, d.rates.short),
			d.prompts(classMedium, 4_200, 32_000, d.rates.medium),
			d.prompts(classLong, 33_000, 250_000, d.rates.long),
			d.prompts(classOversize, 265_000, 850_000, d.rates.oversize),
		},
		Calls: []loadgen.Calls{
			{Service: d.Service, Operation: d.Booking, RatePerSecond: 10, Keyed: true, Repeat: 0.3, TimeoutMs: callTimeoutMs},
			{Service: d.Service, Operation: d.Query, RatePerSecond: 10, TimeoutMs: callTimeoutMs},
		},
	}
	for _, o := range d.Organisations {
		m.Organisations = append(m.Organisations, loadgen.Organisation{Name: o.Name, Key: d.key(o.Name), Weight: o.Weight})
	}
	return m
}

func (d *Deployment) prompts(class string, minTokens, maxTokens int64, rate float64) loadgen.Prompts {
	return loadgen.Prompts{
		Class:         class,
		Model:         d.Model,
		MinTokens:     minTokens,
		MaxTokens:     maxTokens,
		RatePerSecond: rate,
		AnswerTokens:  answerTokens,
		SharedPrefix:  0.25,
		PrefixGroups:  8,
		TimeoutMs:     promptTimeoutMs,
	}
}
