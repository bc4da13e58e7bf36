package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// plannedRequest is one planned request: a prompt if prompts is set, otherwise a
// call.
type plannedRequest struct {
	sendAt       time.Duration
	organisation Organisation
	prompts      *Prompts
	calls        *Calls
	tokens       int64
	seed         uint64
	textSeed     uint64
	prefixGroup  int
	repeat       bool
}

// class returns the class under which the request is counted.
func (it *plannedRequest) class() string {
	if it.prompts != nil {
		return it.prompts.Class
	}
	return it.calls.class()
}

func (c *Calls) class() string { return c.Service + "/" + c.Operation }

// plan returns the requests of the mix in the order in which they are sent.
func plan(m *Mix) []plannedRequest {
	items := make([]plannedRequest, 0, m.MaxRequests)
	for i := range m.Prompts {
		items = append(items, planPrompts(m, &m.Prompts[i])...)
	}
	for i := range m.Calls {
		items = append(items, planCalls(m, &m.Calls[i])...)
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].sendAt < items[j].sendAt })
	return items[:min(len(items), m.MaxRequests)]
}

func planPrompts(m *Mix, p *Prompts) []plannedRequest {
	rng := m.classRand(p.Class)
	var items []plannedRequest
	for at := range arrivals(m, rng, p.RatePerSecond) {
		items = append(items, plannedRequest{
			sendAt:       at,
			organisation: m.pickOrganisation(rng),
			prompts:      p,
			tokens:       promptTokens(rng, p),
			seed:         rng.Uint64(),
			textSeed:     m.TextSeed,
			prefixGroup:  rng.IntN(max(1, p.PrefixGroups)),
		})
	}
	return items
}

func planCalls(m *Mix, c *Calls) []plannedRequest {
	rng := m.classRand(c.class())
	var items []plannedRequest
	for at := range arrivals(m, rng, c.RatePerSecond) {
		items = append(items, plannedRequest{
			sendAt:       at,
			organisation: m.pickOrganisation(rng),
			calls:        c,
			seed:         rng.Uint64(),
			textSeed:     m.TextSeed,
			repeat:       rng.Float64() < c.Repeat,
		})
	}
	return items
}

// classRand returns the class's own random number generator, so that the
// requests of a class do not depend on the other classes.
func (m *Mix) classRand(class string) *rand.Rand {
	return rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(class)))
}

// arrivals yields the times of a Poisson process, bounded by the duration and
// the maximum number of requests of the mix.
func arrivals(m *Mix, rng *rand.Rand, rate float64) func(func(time.Duration) bool) {
	end := time.Duration(m.DurationMs) * time.Millisecond
	return func(yield func(time.Duration) bool) {
		at := time.Duration(0)
		for range m.MaxRequests {
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= end || !yield(at) {
				return
			}
		}
	}
}

// pickOrganisation picks a random organisation, weighted by Weight.
func (m *Mix) pickOrganisation(rng *rand.Rand) Organisation {
	sum := 0.0
	for _, o := range m.Organisations {
		sum += o.Weight
	}
	x := rng.Float64() * sum
	for _, o := range m.Organisations {
		if x -= o.Weight; x < 0 {
			return o
		}
	}
	return m.Organisations[len(m.Organisations)-1]
}

// promptTokens draws a log-uniform prompt length in tokens.
func promptTokens(rng *rand.Rand, p *Prompts) int64 {
	low := math.Log(float64(p.MinTokens))
	high := math.Log(float64(p.MaxTokens))
	n := int64(math.Exp(low + rng.Float64()*(high-low)))
	return min(max(n, p.MinTokens), p.MaxTokens)
}

// idempotencyKey returns the idempotency key of the call. Runs with different
// seeds or text seeds have different keys.
func (it *plannedRequest) idempotencyKey() string {
	return "load-" + strconv.FormatUint(it.seed, 36) + "-" + strconv.FormatUint(it.textSeed, 36)
}
