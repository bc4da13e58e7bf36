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

// The length classes.
const (
	Short Class = iota
	Medium
	Long
	Oversize
	classes
)

// String implements fmt.Stringer.
func (c Class) String() string { return [...]string{"short", "medium", "long", "oversize"}[c] }

// Priority is the level at which prompts of the class are sent.
func (c Class) Priority() wire.Priority {
	if c >= Long {
		return wire.PriorityLow
	}
	return wire.PriorityHigh
}

// classProfile is what the prompts of a class look like; lengths are log-uniform.
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

// Mix is the share of each class among the prompts.
type Mix struct {
	Name   string
	Shares [classes]float64
}

// The mixes of the two deployments.
var (
	Kivukoni    = Mix{"kivukoni", [classes]float64{0.74, 0.22, 0.0392, 0.0008}}
	Vltavske    = Mix{"vltavske", [classes]float64{0.60, 0.30, 0.0992, 0.0008}}
	allMixes    = []Mix{Kivukoni, Vltavske}
	boundFactor = 1.1
)

const (
	organisations = 10
	// largeOrganisations send largeShare of all prompts; all have the same
	// weight.
	largeOrganisations = 3
	largeShare         = 0.7
	// templateBlocks is the prefix that the prompts of an organisation share.
	templateBlocks = 3
	// followUpShare is the share of medium and long prompts that go on from an
	// earlier one, with all of its prompt as their prefix.
	followUpShare = 0.3
	// recentPrompts is how far back a follow-up reaches.
	recentPrompts = 40
	// maxTokensExcess is the most by which callers overstate their answers.
	maxTokensExcess = 1.0
)

// job is one prompt and what became of it.
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
	// predicted is the time to the first token that admission went by.
	predicted time.Duration
	// admissionDecided says that admission has decided.
	admissionDecided bool
	// servable says of a refused job that the oracle saw a way to serve it.
	servable bool
}

// tokenBound is the upper bound on the prompt's tokens before it is tokenised.
func (j *job) tokenBound() int64 { return int64(float64(j.promptTokens) * boundFactor) }

// generator draws arrivals.
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

// newJob draws the prompt that arrives at the time.
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

// drawBlocks draws the prompt's blocks.
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

func organisationTemplate(organisation int) []uint64 {
	blocks := make([]uint64, templateBlocks)
	for i := range blocks {
		blocks[i] = uint64(organisation*templateBlocks + i + 1)
	}
	return blocks
}

// meanTokens is the mean length of the mix's prompts.
func (m Mix) meanTokens() float64 {
	sum := 0.0
	for c, share := range m.Shares {
		low, high := classProfiles[c].minTokens, classProfiles[c].maxTokens
		sum += share * (high - low) / math.Log(high/low)
	}
	return sum
}
