package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

func drawView(t *rapid.T) View {
	return View{
		Queued:            [2]int64{rapid.Int64Range(0, 100_000).Draw(t, "high"), rapid.Int64Range(0, 100_000).Draw(t, "low")},
		Rate:              rapid.Float64Range(1000, 100_000).Draw(t, "rate"),
		Memory:            rapid.Int64Range(10_000, 400_000).Draw(t, "memory"),
		Held:              rapid.Int64Range(0, 500_000).Draw(t, "held"),
		WaitingLow:        rapid.IntRange(0, 5).Draw(t, "waiting"),
		HighShare:         rapid.Float64Range(0, 1).Draw(t, "share"),
		OvertakeExhausted: rapid.Bool().Draw(t, "exhausted"),
	}
}

func drawPrompt(t *rapid.T) Prompt {
	return Prompt{
		Tokens:      rapid.Int64Range(1, 300_000).Draw(t, "tokens"),
		MaxTokens:   rapid.Int64Range(1, 1000).Draw(t, "max"),
		Priority:    wire.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		DelayWeight: rapid.Float64Range(0, 10).Draw(t, "weight"),
	}
}

// TestPickerMatchesExhaustiveSearch compares a Picker without random ties with an
// exhaustive search for the lowest score.
func TestPickerMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := rapid.SliceOfN(rapid.Custom(drawView), 0, 30).Draw(t, "views")
		p := drawPrompt(t)
		cfg := DefaultConfig()
		cfg.TieMargin = 0
		got := NewPicker(cfg, rand.New(rand.NewPCG(1, 1))).Pick(&p, views)
		want := -1
		for i := range views {
			if views[i].Memory < p.Need() {
				continue
			}
			if want < 0 || Score(&p, &views[i]) < Score(&p, &views[want]) {
				want = i
			}
		}
		if got.Index != want {
			t.Fatalf("picked view %d, lowest score is at view %d", got.Index, want)
		}
	})
}

// TestSampledPickFitsPrompt checks that a sampled pick never chooses an endpoint
// that cannot hold the prompt, and that it finds one that can even when the sample
// contains none.
func TestSampledPickFitsPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := rapid.SliceOfN(rapid.Custom(drawView), 1, 100).Draw(t, "views")
		p := drawPrompt(t)
		cfg := DefaultConfig()
		cfg.Sample = rapid.IntRange(1, 10).Draw(t, "sample")
		got := NewPicker(cfg, rand.New(rand.NewPCG(uint64(len(views)), 1))).Pick(&p, views)
		fits := false
		for i := range views {
			fits = fits || views[i].Memory >= p.Need()
		}
		if fits != (got.Index >= 0) || fits && views[got.Index].Memory < p.Need() {
			t.Fatalf("picked view %d, an endpoint that fits exists: %v", got.Index, fits)
		}
	})
}

// TestFourVMsDoNotHerd has four VMs place prompts with the same views of equal
// endpoints, where the deterministic search always chooses the first. The Picker
// must send all VMs to one endpoint in less than 2 % of the rounds.
func TestFourVMsDoNotHerd(t *testing.T) {
	const endpoints, vms, rounds = 20, 4, 500
	views := make([]View, endpoints)
	for i := range views {
		views[i] = View{Rate: 10_000, Memory: 400_000}
	}
	p := Prompt{Tokens: 2000, MaxTokens: 10}
	collisions := 0
	for round := range rounds {
		taken := make(map[int]int)
		for vm := range vms {
			picker := NewPicker(DefaultConfig(), rand.New(rand.NewPCG(uint64(round), uint64(vm))))
			taken[picker.Pick(&p, views).Index]++
			require.Zero(t, Pick(p, views).Index)
		}
		if len(taken) == 1 {
			collisions++
		}
	}
	require.Less(t, collisions, rounds/50)
}

// TestOvertakingStaysWithinBound floods a fleet with short prompts while long
// ones wait, and counts the prefill that this VM sends ahead of each long one.
func TestOvertakingStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if worst := maxOvertakeExcess(t, DefaultConfig()); worst > 0 {
			t.Fatalf("long prompt overtaken by %v tokens more than its bound", worst)
		}
	})
}

// TestOvertakingExceedsBoundWhenDisabled checks that the oracle detects a
// violation when OvertakeFactor is zero.
func TestOvertakingExceedsBoundWhenDisabled(t *testing.T) {
	worst := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.OvertakeFactor = 0
		worst = max(worst, maxOvertakeExcess(t, cfg))
	})
	require.Positive(t, worst)
}

// maxOvertakeExcess returns the largest number of tokens by which a long prompt
// was overtaken beyond its bound; zero when none was.
func maxOvertakeExcess(t *rapid.T, cfg Config) int64 {
	const endpoints = 3
	type waiting struct {
		endpoint    int
		bound, seen int64
	}
	tracked := make([]*Endpoint, endpoints)
	for i := range tracked {
		tracked[i] = NewEndpoint(cfg, fmt.Sprint(i), 10_000_000, 10_000)
	}
	picker := NewPicker(cfg, rand.New(rand.NewPCG(7, 7)))
	var low []*waiting
	now, worst := epoch, int64(0)
	for i := range rapid.IntRange(50, 300).Draw(t, "prompts") {
		now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "elapsed_ms")) * time.Millisecond)
		p := Prompt{Tokens: rapid.Int64Range(1000, 4000).Draw(t, "tokens"), MaxTokens: 1}
		if rapid.IntRange(0, 19).Draw(t, "long") == 0 {
			p.Tokens *= 10
			p.Priority = wire.PriorityLow
		}
		views := make([]View, endpoints)
		for j := range tracked {
			views[j] = tracked[j].View(now, &p)
		}
		choice := picker.Pick(&p, views)
		work := tracked[choice.Index].Sent(now, fmt.Sprint(i), &p, choice.Priority)
		if choice.Priority == wire.PriorityLow {
			low = append(low, &waiting{choice.Index, int64(DefaultConfig().OvertakeFactor*float64(p.Tokens)) + 4000, 0})
			continue
		}
		for _, l := range low {
			if l.endpoint == choice.Index {
				l.seen += work
				worst = max(worst, l.seen-l.bound)
			}
		}
	}
	return worst
}

// TestDelayWeightShiftsChoice has a fast endpoint with waiting low-priority
// prompts and a slower idle one: weight 0 chooses the first, weight 1 the second.
func TestDelayWeightShiftsChoice(t *testing.T) {
	views := []View{
		{Rate: 20_000, Memory: 400_000, Queued: [2]int64{0, 100_000}, WaitingLow: 2},
		{Rate: 12_000, Memory: 400_000},
	}
	p := Prompt{Tokens: 4000, MaxTokens: 10}
	p.DelayWeight = 0
	require.Equal(t, 0, Pick(p, views).Index)
	p.DelayWeight = 1
	require.Equal(t, 1, Pick(p, views).Index)
}

// TestFullMemoryIsAvoided has a fast endpoint whose memory is almost full, and a
// prompt that exceeds the memory of every endpoint.
func TestFullMemoryIsAvoided(t *testing.T) {
	views := []View{
		{Rate: 60_000, Memory: 400_000, Held: 399_000},
		{Rate: 10_000, Memory: 400_000},
	}
	require.Equal(t, 1, Pick(Prompt{Tokens: 4000, MaxTokens: 10}, views).Index)
	require.Equal(t, -1, Pick(Prompt{Tokens: 500_000, MaxTokens: 10}, views).Index)
}

func TestConfigValidate(t *testing.T) {
	require.NoError(t, DefaultConfig().Validate())
	for _, change := range []func(*Config){
		func(c *Config) { c.Sample = -1 },
		func(c *Config) { c.TieMargin = 2 },
		func(c *Config) { c.OvertakeFactor = -1 },
		func(c *Config) { c.Headroom = 2 },
		func(c *Config) { c.ClaimAfter = 0 },
		func(c *Config) { c.DefaultRate = 0 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		require.Error(t, cfg.Validate())
	}
}

// placementFixture performs one placement: a view of each endpoint and a pick.
type placementFixture struct {
	endpoints []*Endpoint
	views     []View
	picker    *Picker
	prompt    Prompt
}

func newPlacementFixture(n int) *placementFixture {
	cfg := DefaultConfig()
	cfg.Sample = 0
	x := &placementFixture{
		picker: NewPicker(cfg, rand.New(rand.NewPCG(1, 1))),
		views:  make([]View, 0, n),
		prompt: Prompt{Tokens: 3000, MaxTokens: 100, DelayWeight: 0.3, Blocks: make([]uint64, 11)},
	}
	for i := range x.prompt.Blocks {
		x.prompt.Blocks[i] = uint64(i + 1)
	}
	for i := range n {
		e := NewEndpoint(cfg, fmt.Sprint(i), 400_000, 10_000+float64(i))
		e.Prefixes.Apply(epoch, wire.CacheEvents{Events: []wire.CacheEvent{{Sequence: 1, Added: x.prompt.Blocks[:i%11]}}})
		long := Prompt{Tokens: 100_000, MaxTokens: 100, Priority: wire.PriorityLow}
		e.Sent(epoch, "long", &long, wire.PriorityLow)
		x.endpoints = append(x.endpoints, e)
	}
	return x
}

func (x *placementFixture) place(now time.Time) Choice {
	x.views = x.views[:0]
	for _, e := range x.endpoints {
		x.views = append(x.views, e.View(now, &x.prompt))
	}
	return x.picker.Pick(&x.prompt, x.views)
}

func TestPlacementDoesNotAllocate(t *testing.T) {
	x := newPlacementFixture(64)
	require.Zero(t, testing.AllocsPerRun(100, func() { x.place(epoch) }))
}

func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{20, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newPlacementFixture(n)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				x.place(now)
			}
		})
	}
}
