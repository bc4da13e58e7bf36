package hedging

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261206")
	_ = flag.Set("rapid.nofailfile", "true")
}

const ms = time.Millisecond

// known returns what is known after many observations of the same value.
func known(value float64) (u Statistics) {
	for range meanEvidence {
		u.Observe(value)
	}
	return u
}

// TestDelay guards against hedges that come too late for the goal, where it is long, or for the
// caller, and against those that could serve nobody.
func TestDelay(t *testing.T) {
	call, slow := known(float64(60*ms)), known(float64(time.Second))
	for name, test := range map[string]struct {
		wait  Wait
		delay time.Duration
	}{
		"short prompt":                        {Wait{Predicted: 100 * ms, Goal: 250 * ms, Patience: 2 * time.Second}, 500 * ms},
		"prompt of 45,000 tokens":             {Wait{Predicted: 500 * ms, Goal: 1500 * ms, Patience: 4 * time.Second}, 850 * ms},
		"prompt of 260,000 tokens":            {Wait{Predicted: 1400 * ms, Goal: 4 * time.Second, Patience: 10 * time.Second}, 2200 * ms},
		"prompt of 220,000 tokens":            {Wait{Predicted: 2500 * ms, Goal: 8 * time.Second, Patience: 10 * time.Second}, 4 * time.Second},
		"prediction that is too early":        {Wait{Predicted: 500 * ms, Observed: known(2), Goal: 1500 * ms, Patience: 4 * time.Second}, 1600 * ms},
		"plain call":                          {Wait{Observed: call, Goal: 300 * ms, Patience: 2 * time.Second}, 500 * ms},
		"heavy call on a route of light ones": {Wait{Estimated: 400 * ms, Observed: call, Patience: 10 * time.Second}, 3200 * ms},
		"plain call, unknown time":            {Wait{Goal: 300 * ms, Patience: 2 * time.Second}, 600 * ms},
		"slow calls":                          {Wait{Observed: slow, Patience: 10 * time.Second}, 5 * time.Second},
		"nothing known":                       {Wait{Patience: 3 * time.Second}, 1500 * ms},
		"caller without patience":             {Wait{Observed: call, Patience: 600 * ms}, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			delay, ok := test.wait.Delay()
			require.True(t, ok)
			require.InDelta(t, test.delay, delay, float64(ms))
			if test.wait.Goal >= 1500*ms && test.wait.Observed.Mean() <= 1 {
				require.Less(t, delay+test.wait.Predicted, test.wait.Goal)
			}
		})
	}
	_, ok := (&Wait{Predicted: time.Second, Patience: 2 * time.Second}).Delay()
	require.False(t, ok, "the caller leaves before the other endpoint would answer")
}

// TestUsualVariationIsNotOverdue guards against hedges in a healthy system: predictions that are off by
// a quarter, calls of which one in a hundred takes five times as long, and calls of which one in twenty
// takes twenty times as long.
func TestUsualVariationIsNotOverdue(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	prompt := func(predicted time.Duration) func() time.Duration {
		return func() time.Duration { return scale(predicted, 1+rng.NormFloat64()/4) }
	}
	for name, test := range map[string]struct {
		wait Wait
		took func() time.Duration
	}{
		"short prompts":  {Wait{Predicted: 100 * ms, Goal: 250 * ms, Patience: 2 * time.Second}, prompt(100 * ms)},
		"middle prompts": {Wait{Predicted: 600 * ms, Goal: 1500 * ms, Patience: 4 * time.Second}, prompt(600 * ms)},
		"long prompts":   {Wait{Predicted: 3 * time.Second, Goal: 8 * time.Second, Patience: 12 * time.Second}, prompt(3 * time.Second)},
		"calls": {Wait{Goal: 300 * ms, Patience: 2 * time.Second}, func() time.Duration {
			took := scale(60*ms, (1+min(rng.ExpFloat64(), 4))/2)
			if rng.IntN(100) == 0 {
				return min(5*took, 450*ms)
			}
			return took
		}},
		"light and heavy calls": {Wait{Goal: 3 * time.Second, Patience: 10 * time.Second}, func() time.Duration {
			if rng.IntN(20) == 0 {
				return 2 * time.Second
			}
			return 100 * ms
		}},
	} {
		wait, overdue := test.wait, 0
		for range 10_000 {
			took := test.took()
			if delay, ok := wait.Delay(); ok && took > delay {
				overdue++
			}
			if wait.Predicted > 0 {
				wait.Observed.Observe(float64(took) / float64(wait.Predicted))
			} else {
				wait.Observed.Observe(float64(took))
			}
		}
		t.Logf("%s: %d of 10,000 overdue", name, overdue)
		require.Less(t, overdue, 50, name)
	}
}

// TestMeanFollows guards against a mean that one call in a hundred distorts, and against one that
// does not follow a change.
func TestMeanFollows(t *testing.T) {
	var u Statistics
	for range meanEvidence - 1 {
		u.Observe(60)
		require.Zero(t, u.Mean())
	}
	for i := range 1000 {
		if i%100 == 50 {
			u.Observe(300)
			continue
		}
		u.Observe(60)
		require.InDelta(t, 60, u.Mean(), 4)
	}
	for range 60 {
		u.Observe(300)
	}
	require.Greater(t, u.Mean(), 270.0)
	for range 60 {
		u.Observe(60)
	}
	require.Less(t, u.Mean(), 70.0)
}

// TestGuardBoundsTheShare guards against more hedges than a tenth of the requests within the window
// before, and one.
func TestGuardBoundsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := NewGuard(10*time.Second), time.Unix(1000, 0)
		var requests, hedges []time.Time
		for _, after := range rapid.SliceOfN(rapid.IntRange(-300, 300), 1, 400).Draw(t, "after") {
			now = now.Add(time.Duration(max(after, -after)) * ms)
			if after < 0 {
				g.RecordRequest(now)
				requests = append(requests, now)
			} else if g.RefusalReason(now) == "" {
				g.Take(now)
				hedges = append(hedges, now)
				// The window has intervals of a second.
				inWindow := later(hedges, now.Add(-9*time.Second))
				require.LessOrEqual(t, float64(inWindow), 1+float64(later(requests, now.Add(-10*time.Second)))/10)
			}
		}
	})
}

// TestGuardBoundsTheSearches guards against a queue full of second copies of requests that wait for
// their placement, of which none has been sent yet.
func TestGuardBoundsTheSearches(t *testing.T) {
	g, now := NewGuard(10*time.Second), time.Unix(1000, 0)
	for range 20 {
		g.RecordRequest(now)
	}
	for range 3 {
		require.Empty(t, g.Begin(now))
	}
	require.Equal(t, ReasonShare, g.Begin(now))
	g.Take(now)
	g.End()
	require.Equal(t, ReasonShare, g.Begin(now))
	g.End()
	require.Empty(t, g.Begin(now), "a search that has sent nothing")
}

func later(times []time.Time, since time.Time) (n int) {
	for _, at := range times {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// TestGuardRefusesWhileTheServiceIsSlow guards against hedges that make a slow service slower, and
// against a service of which one endpoint of six is slow that gets none.
func TestGuardRefusesWhileTheServiceIsSlow(t *testing.T) {
	g, now, rng := NewGuard(10*time.Second), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	fresh := *g
	for range 17 {
		fresh.RecordOverdue()
	}
	require.Equal(t, ReasonSlow, fresh.RefusalReason(now))
	refused := 0
	for range 6000 {
		g.RecordRequest(now)
		if rng.IntN(6) == 0 {
			g.RecordOverdue()
		} else {
			g.RecordInTime()
		}
		if g.RefusalReason(now) != "" {
			refused++
		}
	}
	require.Less(t, refused, 60, "with one endpoint of six slow")
	after := 0
	for ; g.RefusalReason(now) == ""; after++ {
		g.RecordOverdue()
	}
	require.LessOrEqual(t, after, 17, "with all endpoints slow")
	require.Equal(t, ReasonSlow, g.RefusalReason(now))
	for range 4 {
		g.RecordInTime()
	}
	require.Empty(t, g.RefusalReason(now))
}
