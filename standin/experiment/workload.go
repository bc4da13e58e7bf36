package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// Class is a length class of prompts.
type Class int

// Length classes.
const (
	Short Class = iota
	Medium
	Long
	Oversize
	classes
)

// String implements fmt.Stringer.
func (c Class) String() string { return [...]string{"short", "medium", "long", "oversize"}[c] }

// Priority is the priority of the class's prompts.
func (c Class) Priority() wire.Priority {
	if c >= Long {
		return wire.PriorityLow
	}
	return wire.PriorityHigh
}

// classProfile describes the prompts of a class. Lengths are in tokens and
// log-uniform.
type classProfile struct {
	minTokens, maxTokens float64
	minAnswer, maxAnswer float64
	deadline             time.Duration
}

var classProfiles = [classes]classProfile{
	Short:    {1_000, 4_000, 20, 100, 20 * time.Second},
	Medium:   {4_000, 32_000, 50, 200, 45 * time.Second},
	Long:     {32_000, 180_000, 50, 300, 180 * time.Second},
	Oversize: {600_000, 1_000_000, 100, 300, 600 * time.Second},
}

// Mix is a distribution of prompts over the classes.
type Mix struct {
	Name   string
	Shares [classes]float64
}

// Mixes of the two deployments, and the ratio of the bound on a prompt's tokens
// to their number.
var (
	Kivukoni    = Mix{"kivukoni", [classes]float64{0.74, 0.22, 0.0392, 0.0008}}
	Vltavske    = Mix{"vltavske", [classes]float64{0.60, 0.30, 0.0992, 0.0008}}
	allMixes    = []Mix{Kivukoni, Vltavske}
	boundFactor = 1.1
)

const (
	organisations = 10
	// largeOrganisations is the number of organisations that together send
	// largeShare of all prompts; all organisations have the same weight.
	largeOrganisations = 3
	largeShare         = 0.7
	// templateBlocks is the length, in blocks, of the prefix that an
	// organisation's prompts share.
	templateBlocks = 3
	// followUpShare is the share of medium and long prompts that continue an
	// earlier one and have its whole prompt as their prefix.
	followUpShare = 0.3
	// recentPrompts is the number of most recent prompts of a class from which
	// a follow-up's predecessor is drawn.
	recentPrompts = 40
	// maxTokensExcess is the largest relative excess of a request's token limit
	// over its answer's length.
	maxTokensExcess = 1.0
)

// job is one request and its outcome.
type job struct {
	id           int
	class        Class
	organisation int
	promptTokens int64
	answerTokens int64
	maxTokens    int64
	blocks       []uint64
	arrival      time.Duration
	deadline     time.Duration
	vm           int

	attempt      int
	engine       int
	seq          *engine.Sequence
	members      []int
	delivered    int64
	sentAt       time.Duration
	firstTokenAt time.Duration
	endedAt      time.Duration
	refused      bool
	expired      bool
	resolved     bool
	// predicted is the time to first token that was predicted at admission.
	predicted time.Duration
	// admissionDecided says whether the request has passed through admission.
	admissionDecided bool
	// servable says of a refused job that, by the oracle's estimate, it could
	// have met its deadline.
	servable bool
}

// tokenBound is the upper bound on the prompt's tokens that is used before
// tokenisation.
func (j *job) tokenBound() int64 { return int64(float64(j.promptTokens) * boundFactor) }

// generator draws the requests.
type generator struct {
	rng    *rand.Rand
	mix    Mix
	recent [classes][]*job
	nextID int
}

func (g *generator) logUniform(low, high float64) int64 {
	return int64(low * math.Exp(g.rng.Float64()*math.Log(high/low)))
}

func (g *generator) drawClass() Class {
	u := g.rng.Float64()
	for c, share := range g.mix.Shares {
		if u < share {
			return Class(c)
		}
		u -= share
	}
	return Short
}

func (g *generator) drawOrganisation() int {
	if g.rng.Float64() < largeShare {
		return g.rng.IntN(largeOrganisations)
	}
	return largeOrganisations + g.rng.IntN(organisations-largeOrganisations)
}

// newJob draws the request that arrives at the given time at one of the VMs.
func (g *generator) newJob(at time.Duration, vms int) *job {
	c := g.drawClass()
	s := classProfiles[c]
	g.nextID++
	j := &job{
		id:           g.nextID,
		class:        c,
		organisation: g.drawOrganisation(),
		promptTokens: g.logUniform(s.minTokens, s.maxTokens),
		answerTokens: g.logUniform(s.minAnswer, s.maxAnswer),
		arrival:      at,
		deadline:     at + s.deadline,
		vm:           g.rng.IntN(vms),
		engine:       -1,
	}
	j.maxTokens = int64(float64(j.answerTokens) * (1 + maxTokensExcess*g.rng.Float64()))
	g.drawBlocks(j)
	return j
}

// drawBlocks draws the prompt's blocks. A follow-up also gets a new length.
func (g *generator) drawBlocks(j *job) {
	prefix := organisationTemplate(j.organisation)
	followUp := g.rng.Float64() < followUpShare
	if recent := g.recent[j.class]; (j.class == Medium || j.class == Long) && followUp && len(recent) > 0 {
		earlier := recent[g.rng.IntN(len(recent))]
		prefix = earlier.blocks
		extra := g.logUniform(engine.BlockTokens, 8*engine.BlockTokens)
		j.promptTokens = min(earlier.promptTokens+extra, int64(classProfiles[j.class].maxTokens))
	}
	n := int(j.promptTokens / engine.BlockTokens)
	j.blocks = make([]uint64, n)
	copy(j.blocks, prefix)
	for i := min(n, len(prefix)); i < n; i++ {
		j.blocks[i] = g.rng.Uint64()
	}
	g.recent[j.class] = append(g.recent[j.class], j)
	if len(g.recent[j.class]) > recentPrompts {
		g.recent[j.class] = g.recent[j.class][1:]
	}
}

// organisationTemplate returns the blocks that all prompts of the organisation
// start with.
func organisationTemplate(organisation int) []uint64 {
	blocks := make([]uint64, templateBlocks)
	for i := range blocks {
		blocks[i] = uint64(organisation*templateBlocks + i + 1)
	}
	return blocks
}

// meanTokens is the mean length of the mix's prompts, in tokens.
func (m Mix) meanTokens() float64 {
	sum := 0.0
	for c, share := range m.Shares {
		low, high := classProfiles[c].minTokens, classProfiles[c].maxTokens
		sum += share * (high - low) / math.Log(high/low)
	}
	return sum
}
