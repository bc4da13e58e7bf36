package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// nearSim is a load of prompts on engines in failure domains.
type nearSim struct {
	// engines has the number of engines of each domain, and demand the weights of the domains
	// from which the prompts come.
	engines, demand []int
	load            float64
}

// domainName returns the name of a failure domain.
func domainName(i int) string { return string(rune('a' + i)) }

// nearResult has the mean and the 95th percentile of the time to the first event in ms, and the share
// of prompts whose receiver is in the domain of the owner, by kind.
type nearResult struct {
	mean, p95, near, served map[string]float64
	// value is the share of the possible value that was earned.
	value float64
}

// nearSeeds is the number of seeds over which the loads are simulated.
const nearSeeds = 16

// run simulates the load over the seeds. With anywhere, the owners' domains are not known.
func (n nearSim) run(penalty float64, anywhere bool) nearResult {
	r := nearResult{mean: map[string]float64{}, p95: map[string]float64{}, near: map[string]float64{}, served: map[string]float64{}}
	times, arrived := map[string][]float64{}, map[string]float64{}
	for seed := range uint64(nearSeeds) {
		s, domains := n.simulate(seed, penalty, anywhere)
		r.value += s.result().value / nearSeeds
		for i, j := range s.jobs {
			k := j.kind.name
			arrived[k]++
			if !j.started {
				continue
			}
			times[k] = append(times[k], j.firstMs-j.arrivedMs)
			r.mean[k] += j.firstMs - j.arrivedMs
			if domains.ofEngine[j.engines[0].id] == domains.ofJob[i] {
				r.near[k]++
			}
		}
	}
	for k, list := range times {
		slices.Sort(list)
		r.p95[k] = list[len(list)*95/100]
		r.mean[k] /= float64(len(list))
		r.near[k] /= float64(len(list))
		r.served[k] = float64(len(list)) / arrived[k]
	}
	return r
}

type simDomains struct {
	ofEngine map[string]string
	ofJob    []string
}

func (n nearSim) simulate(seed uint64, penalty float64, anywhere bool) (*sim, simDomains) {
	cfg := DefaultConfig()
	cfg.RemotePenalty = penalty
	total := 0
	for _, count := range n.engines {
		total += count
	}
	s := newSim(seed, cfg, total)
	domains := simDomains{ofEngine: map[string]string{}}
	var list []Endpoint
	for domain, count := range n.engines {
		for range count {
			e := s.engineList[len(list)]
			domains.ofEngine[e.id] = domainName(domain)
			list = append(list, Endpoint{ID: e.id, Service: "s", Domain: domainName(domain), Slots: e.f.Slots})
		}
	}
	s.d.SetEndpoints(s.start, list)
	s.arrivals(simKinds(), []simPhase{{0, [3]float64{1, 1, 1}}}, n.load, 12000)
	var from []string
	for domain, weight := range n.demand {
		for range weight {
			from = append(from, domainName(domain))
		}
	}
	for i, j := range s.jobs {
		domain := from[i%len(from)]
		domains.ofJob = append(domains.ofJob, domain)
		if !anywhere {
			j.domain = domain
		}
	}
	s.run()
	return s, domains
}

// TestPreferNearSideBySide guards against a preference for the owner's failure domain that overloads
// its engines while those of other domains are free, and against one that has no effect. The loads are
// those of 18 engines in all.
func TestPreferNearSideBySide(t *testing.T) {
	for name, c := range map[string]struct {
		nearSim
		// short is the least share of short prompts that stay in their domain, and long the same of
		// long ones.
		short, long float64
	}{
		"even demand":                {nearSim{[]int{6, 6, 6}, []int{1, 1, 1}, 0.6}, 0.7, 0.8},
		"all demand from one domain": {nearSim{[]int{6, 6, 6}, []int{1, 0, 0}, 0.6}, 0, 0},
		"one domain at high load":    {nearSim{[]int{6, 6, 6}, []int{1, 0, 0}, 0.9}, 0, 0},
		"unequal domains":            {nearSim{[]int{12, 4, 2}, []int{1, 1, 1}, 0.6}, 0, 0},
		"a domain without engines":   {nearSim{[]int{9, 9, 0}, []int{0, 0, 1}, 0.6}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without, with := c.run(0, false), c.run(NearRemotePenalty, false)
			t.Logf("value without %.4f, with %.4f", without.value, with.value)
			for _, k := range simKinds() {
				t.Logf("%-6s without: mean %.1f ms, p95 %.1f, near %.3f; with: mean %.1f ms, p95 %.1f, near %.3f", k.name,
					without.mean[k.name], without.p95[k.name], without.near[k.name], with.mean[k.name], with.p95[k.name], with.near[k.name])
				require.LessOrEqual(t, with.mean[k.name], without.mean[k.name]+0.01*k.goalMs, k.name)
				require.LessOrEqual(t, with.p95[k.name], without.p95[k.name]+c.tail(k.name)*k.goalMs, k.name)
				require.GreaterOrEqual(t, with.served[k.name], without.served[k.name]-0.001, k.name)
			}
			require.GreaterOrEqual(t, with.value, without.value-0.002)
			require.GreaterOrEqual(t, with.near["short"], c.short)
			require.GreaterOrEqual(t, with.near["long"], c.long)
		})
	}
}

// tail returns the share of its goal by which the 95th percentile of a kind may be later. That of the
// few long prompts varies more with the seeds.
func (n nearSim) tail(kind string) float64 {
	if kind == "long" {
		return 0.1
	}
	return 0.02
}

// TestUnknownDomainHasNoPreference guards against a job of an earlier build, which has no domain, or one
// of a domain without endpoints that is placed otherwise than by its cost. The load is an even one of
// short and long prompts.
func TestUnknownDomainHasNoPreference(t *testing.T) {
	even := nearSim{[]int{6, 6, 6}, []int{1}, 0.6}
	without, _ := even.simulate(1, 0, false)
	unknown, _ := even.simulate(1, NearRemotePenalty, true)
	elsewhere, _ := nearSim{[]int{6, 6, 6}, []int{0, 0, 0, 1}, 0.6}.simulate(1, NearRemotePenalty, false)
	for i, j := range unknown.jobs {
		require.Equal(t, j.engines[0].id, elsewhere.jobs[i].engines[0].id)
	}
	require.InDelta(t, without.result().value, unknown.result().value, 0.001)
}

// TestLightJobLeavesItsDomainForATenthOfItsGoal guards against a preference that makes a short prompt
// begin later by more than a tenth of its goal, against one that gives way to small differences, and
// against one that takes engines which are not kept free for short prompts. Engine "b" is idle, and "a"
// has a prompt to prefill first.
func TestLightJobLeavesItsDomainForATenthOfItsGoal(t *testing.T) {
	for _, c := range []struct {
		domain             string
		ahead, interactive int
		want               string
	}{
		{"x", 0, 2, "a"}, {"y", 0, 2, "b"}, {"", 4000, 2, "b"},
		{"x", 4000, 2, "a"},  // 17 ms later
		{"x", 10000, 2, "b"}, // 45 ms later, of a goal of 300 ms
		{"y", 0, 1, "a"}, {"y", 10000, 1, "a"},
	} {
		d := nearDispatcher([]Endpoint{{ID: "a", Service: "s", Domain: "x", Slots: 16}, {ID: "b", Service: "s", Domain: "y", Slots: 16}})
		if c.ahead > 0 {
			d.Adopt(start, prompt("ahead", c.ahead, start), Placement{Job: "ahead", Endpoint: "a"}, false)
		}
		j := prompt("j", 1000, start)
		j.Domain = c.domain
		require.Equal(t, c.want, d.bestLight(start, &j, d.pools["s"], c.interactive).receiver.ID, c)
	}
}

// TestFullDomainIsNoReasonToWait guards against a short prompt that waits for the engines of its domain,
// or is refused for them, while one of another domain has a slot.
func TestFullDomainIsNoReasonToWait(t *testing.T) {
	d := nearDispatcher([]Endpoint{{ID: "a", Service: "s", Domain: "x", Slots: 1}, {ID: "b", Service: "s", Domain: "y", Slots: 16}})
	for i, want := range []string{"a", "b"} {
		j := prompt(fmt.Sprint(i), 1000, start)
		j.Domain = "x"
		d.Submit(start, j)
		decisions := d.Decide(start)
		require.Len(t, decisions, 1)
		require.Equal(t, want, decisions[0].Placement.Endpoint)
	}
}

// TestEnginesKeptFreeAreSpread guards against engines for short prompts that are all of one failure
// domain, because the IDs of a domain are alike: the prompts of the others could not stay in theirs.
func TestEnginesKeptFreeAreSpread(t *testing.T) {
	ids := []string{"x1", "x2", "x3", "y1", "y2", "z1"}
	list := make([]Endpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Service: "s", Domain: id[:1], Slots: 16})
	}
	d := nearDispatcher(list)
	order := make([]string, 0, len(ids))
	for _, e := range d.pools["s"] {
		order = append(order, e.ID)
	}
	require.Equal(t, []string{"x1", "y1", "z1", "x2", "y2", "x3"}, order)
}

func nearDispatcher(list []Endpoint) *Dispatcher {
	cfg := DefaultConfig()
	cfg.RemotePenalty = NearRemotePenalty
	d := New(cfg)
	d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
	d.SetEndpoints(start, list)
	return d
}

// TestPreferNearPlain guards against a preference that makes the calls of a plain service later or
// overloads the endpoints of one domain, and against one that has no effect. The loads are shares of the
// capacity of four of the six endpoints, of which each domain has two.
func TestPreferNearPlain(t *testing.T) {
	for name, c := range map[string]struct {
		domains int
		load    float64
		// least is the least share of calls that stay in their domain.
		least float64
	}{
		"even demand":                {3, 0.6, 0},
		"even demand, low load":      {3, 0.05, 0.9},
		"all demand from one domain": {1, 0.6, 0},
		"one domain, low load":       {1, 0.05, 0.7},
	} {
		for _, learn := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", learned ", learn), func(t *testing.T) {
				t.Parallel()
				without, nearWithout := runNearPlain(0, c.load, c.domains, learn)
				with, near := runNearPlain(NearRemotePenalty, c.load, c.domains, learn)
				t.Logf("without: on time %.4f, mean %v, light p95 %v, near %.3f; with: %.4f, %v, %v, %.3f",
					without.onTime, without.mean, without.lightP95, nearWithout, with.onTime, with.mean, with.lightP95, near)
				require.GreaterOrEqual(t, with.onTime, without.onTime-0.002)
				require.InEpsilon(t, without.mean, with.mean, 0.02)
				require.InEpsilon(t, without.lightP95, with.lightP95, 0.02)
				require.GreaterOrEqual(t, near, max(c.least, nearWithout-0.01))
			})
		}
	}
}

// runNearPlain simulates calls from a number of domains, and returns the share of them that are placed
// in their own.
func runNearPlain(penalty, load float64, domains int, learn bool) (wayResult, float64) {
	var all []*simCall
	near := 0.0
	for seed := range uint64(simSeeds) {
		s := newPlainSim(seed)
		s.slowness, s.load = evenEndpoints, load
		drawn := s.calls()
		for i, c := range drawn {
			c.Domain = domainName(i % domains)
		}
		w := newDispatched(learn)
		d := w.vms[w.holder]
		d.cfg.RemotePenalty = penalty
		list := make([]Endpoint, 0, 6)
		for e := range 6 {
			list = append(list, Endpoint{ID: fmt.Sprint("e", e), Service: "p", Domain: domainName(e / 2), Slots: simSlots})
		}
		d.SetEndpoints(start, list)
		for _, c := range s.run(w, drawn) {
			if !c.placed.IsZero() && domainName(c.endpoint/2) == c.Domain {
				near++
			}
			all = append(all, c)
		}
	}
	return summarise(all), near / float64(len(all))
}
