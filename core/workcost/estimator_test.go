package workcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// feed observes requests of several kinds in turn at endpoints in turn, at a rate per second.
type feed struct {
	*Estimator
	now  time.Time
	rng  *rand.Rand
	rate float64
	sent int
}

func newFeed(rate float64) *feed {
	return &feed{Estimator: New(DefaultConfig()), now: start, rng: rand.New(rand.NewPCG(1, 2)), rate: rate}
}

// kind returns a kind of an organisation by its size.
func kind(organisation string, size uint8) Kind {
	return Kind{Service: "s", Route: "r", Method: "POST", Organisation: organisation, Size: size}
}

// run observes requests of one kind for a time, at six endpoints of which some are slow. Requests
// vary by a fifth.
func (f *feed) run(d time.Duration, k Kind, took time.Duration, slow map[string]float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(float64(time.Second) / f.rate))
		f.one(k, took, slow)
	}
}

func (f *feed) one(k Kind, took time.Duration, slow map[string]float64) {
	id := fmt.Sprint("e", f.sent%6)
	f.sent++
	t := float64(took) * math.Exp(0.2*f.rng.NormFloat64())
	if factor := slow[id]; factor > 0 {
		t *= factor
	}
	f.Observe(f.now, Observation{Kind: k, Endpoint: id, Incarnation: 1, Took: time.Duration(t)})
}

func (f *feed) requireCost(t *testing.T, k Kind, want time.Duration, tolerance float64) {
	t.Helper()
	require.InEpsilon(t, float64(want), float64(f.Cost(f.now, k).Mean), tolerance)
}

// TestColdStart guards against an estimate that is based on nothing.
func TestColdStart(t *testing.T) {
	e := New(DefaultConfig())
	require.Zero(t, e.Cost(start, kind("o", 3)))
	require.Equal(t, Pace{Factor: 1}, e.Pace(start, "e0"))
	require.Zero(t, e.Summary(start, "s"))
}

// TestCostAndPaceAreSeparate guards against a kind that looks dear because slow endpoints serve
// it, and an endpoint that looks slow because it serves dear kinds.
func TestCostAndPaceAreSeparate(t *testing.T) {
	f := newFeed(100)
	slow := map[string]float64{"e1": 3, "e4": 5}
	for i := range 600 {
		f.now = f.now.Add(10 * ms)
		f.sent = f.rng.IntN(6)
		if i%20 == 0 {
			f.one(kind("o", 10), 400*ms, slow)
		} else {
			f.one(kind("o", 1), 20*ms, slow)
		}
	}
	f.requireCost(t, kind("o", 1), 20*ms, 0.2)
	f.requireCost(t, kind("o", 10), 400*ms, 0.3)
	for id, want := range map[string]float64{"e0": 1, "e1": 3, "e2": 1, "e3": 1, "e4": 5, "e5": 1} {
		require.InEpsilon(t, want, f.Pace(f.now, id).Factor, 0.35, id)
	}
}

// TestAllSlowAtOnce guards against taking endpoints for slow when the service is.
func TestAllSlowAtOnce(t *testing.T) {
	f := newFeed(50)
	f.run(3*time.Second, kind("o", 1), 20*ms, nil)
	f.run(5*time.Second, kind("o", 1), 100*ms, nil)
	f.requireCost(t, kind("o", 1), 100*ms, 0.2)
	for i := range 6 {
		require.InEpsilon(t, 1, f.Pace(f.now, fmt.Sprint("e", i)).Factor, 0.35)
	}
}

// TestOneInAHundredDoesNotMoveTheEstimate guards against outliers: one request in a hundred takes
// five times as long.
func TestOneInAHundredDoesNotMoveTheEstimate(t *testing.T) {
	f := newFeed(50)
	f.run(5*time.Second, kind("o", 1), 60*ms, nil)
	for i := range 2000 {
		f.now = f.now.Add(20 * ms)
		took := 60 * ms
		if i%100 == 0 {
			took *= 5
		}
		f.one(kind("o", 1), took, nil)
		f.requireCost(t, kind("o", 1), 60*ms, 0.25)
		require.InEpsilon(t, 1, f.Pace(f.now, fmt.Sprint("e", (f.sent-1)%6)).Factor, 0.35)
	}
}

// TestChangeIsFollowed guards against an estimate that stays behind a change for over 5 s, at the
// rates of plain calls of the deployments.
func TestChangeIsFollowed(t *testing.T) {
	for _, rate := range []float64{2, 13.4, 200} {
		for _, factor := range []time.Duration{4, 20} {
			t.Run(fmt.Sprint(rate, "/", factor), func(t *testing.T) {
				f := newFeed(rate)
				f.run(10*time.Second, kind("o", 1), 20*ms, nil)
				f.run(5*time.Second, kind("o", 1), 20*ms*factor, nil)
				f.requireCost(t, kind("o", 1), 20*ms*factor, 0.35)
				f.run(5*time.Second, kind("o", 1), 20*ms, nil)
				f.requireCost(t, kind("o", 1), 20*ms, 0.35)
			})
		}
	}
}

// TestRecoveredEndpointIsForgiven guards against a pace that stays with an endpoint which gets no
// requests any more.
func TestRecoveredEndpointIsForgiven(t *testing.T) {
	f := newFeed(50)
	f.run(5*time.Second, kind("o", 1), 60*ms, map[string]float64{"e2": 5})
	require.Greater(t, f.Pace(f.now, "e2").Factor, 3.5)
	require.Less(t, f.Pace(f.now.Add(10*time.Second), "e2").Factor, 1.25)
	f.run(3*time.Second, kind("o", 1), 60*ms, nil)
	require.Less(t, f.Pace(f.now, "e2").Factor, 1.25)
}

// TestNewIncarnationHasNoPace guards against the pace of an earlier start of an endpoint.
func TestNewIncarnationHasNoPace(t *testing.T) {
	f := newFeed(50)
	f.run(5*time.Second, kind("o", 1), 60*ms, map[string]float64{"e2": 5})
	f.Observe(f.now, Observation{Kind: kind("o", 1), Endpoint: "e2", Incarnation: 2, Took: 60 * ms})
	require.InEpsilon(t, 1, f.Pace(f.now, "e2").Factor, 0.25)
}

// TestUnknownKindUsesTheWiderOne guards against a kind without evidence that is taken for free.
func TestUnknownKindUsesTheWiderOne(t *testing.T) {
	f := newFeed(50)
	f.run(5*time.Second, kind("o", 7), 60*ms, nil)
	f.requireCost(t, kind("other", 7), 60*ms, 0.2)
	f.requireCost(t, kind("other", 12), 60*ms, 0.2)
	f.requireCost(t, Kind{Service: "s", Route: "new"}, 60*ms, 0.2)
	require.Zero(t, f.Cost(f.now, Kind{Service: "t"}))
}

// TestOrganisationCanNotDistortOthers guards against estimates of others that follow one organisation:
// it sends 30 times as many requests as nine others together, which cost 50 times as much.
func TestOrganisationCanNotDistortOthers(t *testing.T) {
	f := newFeed(20)
	for i := range 400 {
		f.now = f.now.Add(25 * ms)
		f.one(kind(fmt.Sprint("o", i%9), 1), 20*ms, nil)
		for range 30 {
			f.one(kind("greedy", 1), time.Second, nil)
		}
	}
	f.requireCost(t, kind("o1", 1), 20*ms, 0.25)
	require.Less(t, f.Cost(f.now, kind("unknown", 1)).Mean, 50*ms)
	f.requireCost(t, kind("greedy", 1), time.Second, 0.25)
	for i := range 6 {
		require.InEpsilon(t, 1, f.Pace(f.now, fmt.Sprint("e", i)).Factor, 0.35)
	}
}

// TestMemoryIsBounded guards against memory that grows with the kinds and endpoints, and against an
// organisation with many kinds that evicts those of one that sends few requests.
func TestMemoryIsBounded(t *testing.T) {
	f := newFeed(1000)
	cfg := DefaultConfig()
	for i := range 1_000_000 {
		f.now = f.now.Add(10 * time.Microsecond)
		k := Kind{Service: "s", Route: fmt.Sprint("r", i), Organisation: "many"}
		if i%2 == 0 {
			k.Organisation = fmt.Sprint("o", i)
		}
		if i%1000 == 0 {
			k = kind("few", 1)
		}
		f.Observe(f.now, Observation{Kind: k, Endpoint: fmt.Sprint("e", i/50), Took: 60 * ms})
	}
	require.LessOrEqual(t, f.Kinds(), cfg.MaxKinds)
	require.LessOrEqual(t, len(f.organisations), cfg.MaxKinds)
	require.LessOrEqual(t, f.organisations["many"].length, cfg.MaxKindsPerOrganisation)
	require.LessOrEqual(t, len(f.paces), cfg.MaxEndpoints)
	require.Equal(t, len(f.kinds), f.recent.length)
	require.NotNil(t, f.kinds[key{Kind: kind("few", 1)}])
	for _, n := range f.kinds {
		require.True(t, n.parent == nil || f.kinds[n.parent.key] == n.parent, "a wider kind was evicted first")
	}
}

// TestSummaryCarriesWhatIsKnown guards against a new holder that starts from nothing, and against
// a summary without bound or that is out of range.
func TestSummaryCarriesWhatIsKnown(t *testing.T) {
	f := newFeed(50)
	slow := map[string]float64{"e1": 5}
	f.run(3*time.Second, kind("o", 1), 20*ms, slow)
	f.run(3*time.Second, kind("o", 10), 400*ms, slow)
	for i := range 200 {
		f.one(kind(fmt.Sprint("o", i), 1), 20*ms, slow)
	}
	sum := f.Summary(f.now, "s")
	require.Len(t, sum.Kinds, MaxSummaryKinds)
	require.Len(t, sum.Paces, 1)
	sum.Kinds = append([]KindSummary{{Kind: kind("o", 1), Level: 9, Mean: 1, Evidence: 1}, {Kind: kind("o", 1), Mean: -1, Evidence: math.NaN()}}, sum.Kinds[:60]...)
	other := New(DefaultConfig())
	other.Merge(f.now, "s", "vm", sum)
	require.InEpsilon(t, float64(20*ms), float64(other.Cost(f.now, kind("o", 1)).Mean), 0.3)
	require.InEpsilon(t, float64(400*ms), float64(other.Cost(f.now, kind("o", 10)).Mean), 0.3)
	require.InEpsilon(t, 5, other.Pace(f.now, "e1").Factor, 0.35)
	// A summary that arrives twice changes nothing.
	cost := other.Cost(f.now, kind("o", 1)).Mean
	other.Merge(f.now, "s", "vm", sum)
	require.InEpsilon(t, float64(cost), float64(other.Cost(f.now, kind("o", 1)).Mean), 0.01)
}

// TestTransfersAddNoEvidence guards against estimates that get stiff: a summary that comes back, or
// comes again, must not count the same requests again, and requests of several VMs must add up.
func TestTransfersAddNoEvidence(t *testing.T) {
	const requests = 4
	k := kind("o", 1)
	now := newFeed(1).now
	observe := func(s *Estimator, vm string) {
		for range requests {
			s.Observe(now, Observation{Kind: k, Endpoint: "e1", Incarnation: 1, Took: 20 * ms, VM: vm})
		}
	}
	// The VM a is the holder, and observes the requests of b as well.
	a, b := New(DefaultConfig()), New(DefaultConfig())
	observe(a, "b")
	observe(b, "")
	for range 6 {
		a.Merge(now, "s", "b", b.Summary(now, "s"))
		b.Merge(now, "s", "a", a.Summary(now, "s"))
	}
	require.LessOrEqual(t, a.Cost(now, k).Evidence, float64(requests))
	require.LessOrEqual(t, b.Cost(now, k).Evidence, float64(requests))

	// A new holder hears of the requests of each VM from that VM, however often.
	c := New(DefaultConfig())
	observe(c, "")
	for range 3 {
		c.Merge(now, "s", "a", a.Summary(now, "s"))
		c.Merge(now, "s", "b", b.Summary(now, "s"))
	}
	require.InDelta(t, 2*requests, c.Cost(now, k).Evidence, 0.01)

	// What b has served since then is news.
	now = now.Add(DefaultConfig().CostWindow)
	observe(b, "")
	before := c.Cost(now, k).Evidence
	c.Merge(now, "s", "b", b.Summary(now, "s"))
	require.InDelta(t, before+requests, c.Cost(now, k).Evidence, 0.6*requests)
	require.Greater(t, c.Cost(now, k).Evidence, before+1)
}

// TestSourcesAreBounded guards against a map that grows with the VMs that have ever been.
func TestSourcesAreBounded(t *testing.T) {
	s := New(DefaultConfig())
	now := newFeed(1).now
	for i := range 3 * maxInformed {
		now = now.Add(ms)
		s.Observe(now, Observation{Kind: kind("o", 1), Endpoint: "e1", Took: ms, VM: fmt.Sprint("vm", i)})
		if i%maxInformed == maxInformed-1 {
			now = now.Add(forgetInformed * DefaultConfig().CostWindow)
		}
	}
	require.LessOrEqual(t, len(s.informed), 2*maxInformed)
}
