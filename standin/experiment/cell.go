package experiment

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/admission"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// PolicyName is the name of a placement policy.
type PolicyName string

// Placement policies.
const (
	RoundRobin       PolicyName = "round-robin"
	Random           PolicyName = "random"
	LeastOutstanding PolicyName = "least-outstanding"
	Predictive       PolicyName = "predictive"
)

// Cell holds the parameters of one run. The result depends on nothing else.
type Cell struct {
	Mix  Mix
	Load float64
	// Lag is the age of the load reports that VMs receive.
	Lag time.Duration
	// VMs is the number of VMs. They decide independently of each other.
	VMs int
	// FailEngine takes down one of the faster engines after a third of
	// Duration.
	FailEngine bool
	// OmitLong leaves out long and oversize prompts; the others stay the same.
	OmitLong bool
	Seed     uint64
	// Duration is the virtual time over which prompts arrive.
	Duration time.Duration

	Policy PolicyName
	// Priorities says whether the engines serve prompts by priority.
	Priorities bool
	// Placement and DelayWeight are the parameters of the predictive policy.
	Placement   placement.Config
	DelayWeight float64
	// Admission refuses prompts that are predicted to miss their deadline; nil
	// admits all.
	Admission *admission.Config

	// NoDigests disables digests and notices, NoNotices delays notices until
	// the next digest, and NoCacheEvents disables cache events.
	NoDigests     bool
	NoNotices     bool
	NoCacheEvents bool

	engineConfigs []engine.ModelConfig
}

const (
	// warmUp is the initial period; prompts that arrive in it are not counted.
	warmUp = 60 * time.Second
	// failedEngine is the index of the engine that FailEngine takes down.
	failedEngine = engines - 4
)

// Run simulates the cell.
func Run(c Cell) Result {
	r := newRun(c)
	r.runTimers()
	return newResult(r.jobs)
}

// newRun sets up the simulation and its initial timers.
func newRun(c Cell) *run {
	c.engineConfigs = fleetConfigs(c.Priorities)
	r := &run{
		cell:           c,
		delayedNotices: make(map[int][]sendRecord),
		jobsBySequence: make(map[*engine.Sequence]*job),
		rng:            rand.New(rand.NewPCG(c.Seed, 2)),
	}
	rateErrors := rand.New(rand.NewPCG(fleetSeed, 1))
	for i, s := range c.engineConfigs {
		factor := 1/maxRateError + rateErrors.Float64()*(maxRateError-1/maxRateError)
		r.nodes = append(r.nodes, &node{index: i, model: engine.NewModel(s), reportedRate: s.PrefillRate * factor})
	}
	for i := range c.VMs {
		r.vms = append(r.vms, c.newPolicy(rand.New(rand.NewPCG(c.Seed, uint64(10+i)))))
	}
	r.scheduleArrivals()
	r.every(sampleInterval, r.sampleLoads)
	r.every(pollInterval, r.deliverReports)
	if !c.NoCacheEvents {
		r.every(cacheEventInterval, r.deliverCacheEvents)
	}
	if !c.NoDigests {
		r.every(digestInterval, r.exchangeDigests)
	}
	if c.FailEngine {
		r.schedule(c.Duration/3, func() { r.failEngine(failedEngine) })
	}
	return r
}

func (c *Cell) newPolicy(rng *rand.Rand) policy {
	switch c.Policy {
	case RoundRobin:
		return &roundRobin{next: rng.IntN(engines)}
	case Random:
		return &random{rng: rng}
	case LeastOutstanding:
		return &leastOutstanding{rng: rng}
	}
	var admit *admission.Controller
	if c.Admission != nil {
		admit = admission.NewController(*c.Admission)
	}
	return newPredictive(c.Placement, c.DelayWeight, admit, c.engineConfigs, rng)
}

// scheduleArrivals draws the requests: a Poisson process whose mean prefill
// work is Load times the fleet's capacity, long prompts included.
func (r *run) scheduleArrivals() {
	rng := rand.New(rand.NewPCG(r.cell.Seed, 1))
	g := &generator{rng: rng, mix: r.cell.Mix}
	rate := r.cell.Load * prefillCapacity(r.cell.engineConfigs) / r.cell.Mix.meanTokens()
	for at := time.Duration(0); at < r.cell.Duration; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		j := g.newJob(at, r.cell.VMs)
		if r.cell.OmitLong && j.class >= Long {
			continue
		}
		r.jobs = append(r.jobs, j)
		r.unresolved++
		r.schedule(j.arrival, func() { r.dispatch(j) })
		r.schedule(j.deadline, func() { r.expire(j) })
	}
}
