package experiment

import (
	"strings"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/placement"
)

// Study runs cells over several seeds.
type Study struct {
	Seeds    []uint64
	Duration time.Duration
	// Workers is the number of parallel runs; it does not affect the results.
	Workers int
	// ConditionFilter selects the conditions whose name contains it, MixFilter
	// the mixes.
	ConditionFilter string
	MixFilter       string
}

// selectedMixes lists the mixes that match MixFilter.
func (s *Study) selectedMixes() []Mix {
	var list []Mix
	for _, m := range allMixes {
		if strings.Contains(m.Name, s.MixFilter) {
			list = append(list, m)
		}
	}
	return list
}

// condition is a named change to a cell, such as a fault or a report lag.
type condition struct {
	name string
	set  func(*Cell)
}

var conditions = []condition{
	{"no faults", func(*Cell) {}},
	{"one engine lost", func(c *Cell) { c.FailEngine = true }},
	{"reports 1 s late", func(c *Cell) { c.Lag = time.Second }},
	{"reports 5 s late", func(c *Cell) { c.Lag = 5 * time.Second }},
	{"four VMs", func(c *Cell) { c.VMs = 4 }},
	{"four VMs, 1 s late, one lost", func(c *Cell) { c.VMs, c.Lag, c.FailEngine = 4, time.Second, true }},
}

var loads = []float64{0.75, 0.9}

// variant is a policy with its parameters.
type variant struct {
	name string
	set  func(*Cell)
}

// baselines returns each baseline policy twice: on engines that serve first
// come, first served, and on engines that serve by priority.
func baselines() []variant {
	policies := []PolicyName{RoundRobin, Random, LeastOutstanding}
	list := make([]variant, 0, 2*len(policies))
	for _, p := range policies {
		list = append(list,
			variant{string(p) + ", fcfs", func(c *Cell) { c.Policy = p }},
			variant{string(p) + ", priorities", func(c *Cell) { c.Policy, c.Priorities = p, true }})
	}
	return list
}

// DefaultWeight is the default delay weight of a deployment.
func DefaultWeight(m Mix) float64 {
	if m.Name == Kivukoni.Name {
		return kivukoniWeight
	}
	return vltavskeWeight
}

// Default delay weights of the two deployments.
const (
	kivukoniWeight = 0.3
	vltavskeWeight = 1
)

// predictiveWith returns a function that configures a cell for the predictive
// policy with the delay weight and then applies change, if it is not nil. A
// negative weight selects the deployment's default.
func predictiveWith(weight float64, change func(*Cell)) func(*Cell) {
	return func(c *Cell) {
		c.Policy, c.Priorities = Predictive, true
		c.Placement = placement.DefaultConfig()
		c.DelayWeight = weight
		if weight < 0 {
			c.DelayWeight = DefaultWeight(c.Mix)
		}
		if change != nil {
			change(c)
		}
	}
}

// task is one cell and its results, one for each seed.
type task struct {
	cell    Cell
	results []Result
}

// newTask returns a task for the cell to which the sets have been applied.
func (s *Study) newTask(m Mix, load float64, sets ...func(*Cell)) *task {
	c := Cell{Mix: m, Load: load, VMs: 1, Duration: s.Duration}
	for _, set := range sets {
		set(&c)
	}
	return &task{cell: c, results: make([]Result, len(s.Seeds))}
}

// withoutLong returns a task for the same cell without long and oversize
// prompts.
func (s *Study) withoutLong(t *task) *task {
	c := t.cell
	c.OmitLong = true
	return &task{cell: c, results: make([]Result, len(s.Seeds))}
}

// run carries out the tasks with Workers runs in parallel. Each run is
// deterministic.
func (s *Study) run(tasks []*task) {
	work := make(chan func())
	var wg sync.WaitGroup
	for range s.Workers {
		wg.Go(func() {
			for do := range work {
				do()
			}
		})
	}
	for _, t := range tasks {
		for i, seed := range s.Seeds {
			work <- func() {
				c := t.cell
				c.Seed = seed
				t.results[i] = Run(c)
			}
		}
	}
	close(work)
	wg.Wait()
}

// mean averages a metric over the seeds.
func (t *task) mean(metric func(*Result) float64) float64 {
	sum := 0.0
	for i := range t.results {
		sum += metric(&t.results[i])
	}
	return sum / float64(len(t.results))
}

// ttft is a percentile of the class's time to first token, averaged over the
// seeds, in seconds.
func (t *task) ttft(c Class, percentile func(*ClassResult) time.Duration) float64 {
	return t.mean(func(r *Result) float64 { return percentile(&r.Classes[c]).Seconds() })
}

func p50(r *ClassResult) time.Duration { return r.P50 }
func p95(r *ClassResult) time.Duration { return r.P95 }
func p99(r *ClassResult) time.Duration { return r.P99 }

func (t *task) goodput() float64 { return t.mean((*Result).Goodput) }
func (t *task) refused() float64 { return t.mean((*Result).RefusedShare) }
