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

// Length classes of the sample load.
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

// Deployment describes one of the deployments that the demo can run.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	// Model is the model service and Engines the number of its endpoints.
	Model   string
	Engines int
	// Service is the plain service and Instances the number of its endpoints.
	Service   string
	Instances int
	// NonIdempotent and Idempotent are operations of the plain service; only
	// calls of the latter may be repeated.
	NonIdempotent string
	Idempotent    string
	// DelayWeight sets the trade-off between the slowdown of short prompts and
	// the time to first token of long ones.
	DelayWeight   float64
	Organisations []Organisation
	rates         arrivalRates
}

// Organisation is a tenant of a deployment.
type Organisation struct {
	Name string
	// Weight is its share of the load and of a saturated service, relative to the
	// other organisations.
	Weight float64
}

// arrivalRates are the arrivals per second of the sample load, by length class.
type arrivalRates struct {
	short, medium, long, oversize float64
}

// UnknownDeploymentError reports a name that is not in Known, the names of all
// deployments.
type UnknownDeploymentError struct {
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q; expected one of %v", e.Name, e.Known)
}

var deployments = map[string]Deployment{
	"kivukoni": {
		Region:         "dar-coast",
		FailureDomains: []string{"kariakoo", "msasani", "upanga"},
		Model:          "scribe-pool",
		Engines:        20,
		Service:        "ledger-desk",
		Instances:      3,
		NonIdempotent:  "deposit",
		Idempotent:     "balance",
		DelayWeight:    0.3,
		Organisations: organisations("framers", "conservators", "archivists",
			"bench-4", "bench-5", "bench-6", "bench-7", "bench-8", "bench-9", "bench-10"),
		rates: arrivalRates{short: 60, medium: 12, long: 3, oversize: 0.4},
	},
	"vltavske": {
		Region:         "cz-jih",
		FailureDomains: []string{"cz-jih-a", "cz-jih-b", "cz-jih-c"},
		Model:          "saddle-desk",
		Engines:        20,
		Service:        "order-book",
		Instances:      3,
		NonIdempotent:  "book",
		Idempotent:     "stock",
		DelayWeight:    3,
		Organisations: organisations("quotes", "guild", "orders",
			"yard-4", "yard-5", "yard-6", "yard-7", "yard-8", "yard-9", "yard-10"),
		rates: arrivalRates{short: 40, medium: 10, long: 4, oversize: 0.6},
	},
}

// organisations returns an organisation for each name; the first three have four
// times the weight of the others.
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

// Names returns the sorted names of the deployments.
func Names() []string {
	names := make([]string, 0, len(deployments))
	for name := range deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Lookup returns the deployment of the name, or an UnknownDeploymentError.
func Lookup(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return Deployment{}, errors.WithStack(&UnknownDeploymentError{name, Names()})
	}
	d.Name = name
	return d, nil
}

// key returns the organisation's API key, which is valid in the demo only.
func (d *Deployment) key(organisation string) string {
	return "demo-key-" + d.Name + "-" + organisation
}

// document returns the configuration of the deployment, without endpoints.
func (d *Deployment) document() configuration.Document {
	doc := configuration.Document{
		Organisations: make(map[string]configuration.Organisation, len(d.Organisations)),
		Services: map[string]configuration.Service{
			d.Model: {Kind: configuration.KindModel, MaxTimeoutMs: 2 * promptTimeoutMs, DelayWeight: d.DelayWeight},
			d.Service: {Kind: configuration.KindPlain, MaxTimeoutMs: 2 * callTimeoutMs, Operations: map[string]configuration.Operation{
				d.NonIdempotent: {Idempotent: false},
				d.Idempotent:    {Idempotent: true},
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

// mix returns the sample load of all length classes.
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
			{Service: d.Service, Operation: d.NonIdempotent, RatePerSecond: 10, Keyed: true, Repeat: 0.3, TimeoutMs: callTimeoutMs},
			{Service: d.Service, Operation: d.Idempotent, RatePerSecond: 10, TimeoutMs: callTimeoutMs},
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
