package loadgen

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// item is one planned request: of Prompts or of Calls, whichever is set.
type item struct {
	at           time.Duration
	organisation Organisation
	prompts      *Prompts
	calls        *Calls
	tokens       int64
	seed         uint64
	textSeed     uint64
	group        int
	repeat       bool
}

// class is the class under which the request is counted.
func (it *item) class() string {
	if it.prompts != nil {
		return it.prompts.Class
	}
	return it.calls.class()
}

func (c *Calls) class() string { return c.Service + "/" + c.Operation }

// plan lists the requests of the mix in the order of their times.
func plan(m *Mix) []item {
	items := make([]item, 0, m.MaxRequests)
	for i := range m.Prompts {
		items = append(items, planPrompts(m, &m.Prompts[i])...)
	}
	for i := range m.Calls {
		items = append(items, planCalls(m, &m.Calls[i])...)
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].at < items[j].at })
	return items[:min(len(items), m.MaxRequests)]
}

func planPrompts(m *Mix, p *Prompts) []item {
	rng := m.source(p.Class)
	var items []item
	for at := range arrivals(m, rng, p.RatePerSecond) {
		items = append(items, item{
			at:           at,
			organisation: m.draw(rng),
			prompts:      p,
			tokens:       length(rng, p),
			seed:         rng.Uint64(),
			textSeed:     m.TextSeed,
			group:        rng.IntN(max(1, p.PrefixGroups)),
		})
	}
	return items
}

func planCalls(m *Mix, c *Calls) []item {
	rng := m.source(c.class())
	var items []item
	for at := range arrivals(m, rng, c.RatePerSecond) {
		items = append(items, item{
			at:           at,
			organisation: m.draw(rng),
			calls:        c,
			seed:         rng.Uint64(),
			textSeed:     m.TextSeed,
			repeat:       rng.Float64() < c.Repeat,
		})
	}
	return items
}

// source is the class's own random numbers, so that no class depends on
// another.
func (m *Mix) source(class string) *rand.Rand {
	return rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(class)))
}

// arrivals yields the times of a Poisson process within the mix's bounds.
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

// draw picks an organisation by weight.
func (m *Mix) draw(rng *rand.Rand) Organisation {
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

// length draws a log-uniform length in tokens.
func length(rng *rand.Rand, p *Prompts) int64 {
	low := math.Log(float64(p.MinTokens))
	high := math.Log(float64(p.MaxTokens))
	n := int64(math.Exp(low + rng.Float64()*(high-low)))
	return min(max(n, p.MinTokens), p.MaxTokens)
}

// idempotencyKey names the call; a run with another seed has other keys.
func (it *item) idempotencyKey() string {
	return "load-" + strconv.FormatUint(it.seed, 36) + "-" + strconv.FormatUint(it.textSeed, 36)
}
