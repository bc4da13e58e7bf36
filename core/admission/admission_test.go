package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

var epoch = time.UnixMilli(1_000_000_000_000)

func newRequest(organisation string, remaining time.Duration) Request {
	return Request{Organisation: organisation, Weight: 1, Tokens: 1000, Remaining: remaining}
}

// TestDecideMatchesDeadlineRule checks each decision against the rule: a prompt
// predicted to end after its deadline plus the tolerance is refused, with a
// retry time that covers the excess within its bounds.
func TestDecideMatchesDeadlineRule(t *testing.T) {
	cfg := DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(cfg)
		first := time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "first"))
		remaining := time.Duration(rapid.Int64Range(1, int64(10*time.Minute)).Draw(t, "remaining"))
		d := c.Decide(epoch, newRequest("framers", remaining), Prediction{FirstToken: first})
		reachable := float64(first) <= float64(remaining)*(1+cfg.Tolerance)
		if d.Admitted != reachable {
			t.Fatalf("admitted %v, deadline reachable %v", d.Admitted, reachable)
		}
		if d.Admitted {
			return
		}
		want := min(max(first-remaining, cfg.MinRetry), cfg.MaxRetry)
		if d.RetryAfter != want {
			t.Fatalf("retry after %v, want %v", d.RetryAfter, want)
		}
	})
}

// TestOverstatedMaxTokensDoNotCauseRefusal has callers whose maximum answer length
// is far above the actual length; refusals start only once answers reach it.
func TestOverstatedMaxTokensDoNotCauseRefusal(t *testing.T) {
	c := NewController(DefaultConfig())
	p := Prediction{FirstToken: time.Second, DecodeTime: time.Hour}
	require.True(t, c.Decide(epoch, newRequest("framers", 10*time.Second), p).Admitted)
	for range 500 {
		c.ObserveAnswer(10, 10_000)
	}
	require.True(t, c.Decide(epoch, newRequest("framers", 10*time.Second), p).Admitted)
	for range 500 {
		c.ObserveAnswer(10_000, 10_000)
	}
	require.False(t, c.Decide(epoch, newRequest("framers", 10*time.Second), p).Admitted)
}

// TestBiasFollowsObservedFirstTokens has predictions that are twice the measured
// time to first token, and then half of it.
func TestBiasFollowsObservedFirstTokens(t *testing.T) {
	c := NewController(DefaultConfig())
	p := Prediction{FirstToken: 15 * time.Second}
	require.False(t, c.Decide(epoch, newRequest("framers", 10*time.Second), p).Admitted)
	for range 500 {
		c.ObserveFirstToken(wire.PriorityHigh, 15*time.Second, 7500*time.Millisecond)
	}
	require.True(t, c.Decide(epoch, newRequest("framers", 10*time.Second), p).Admitted)
	for range 500 {
		c.ObserveFirstToken(wire.PriorityHigh, 15*time.Second, 30*time.Second)
	}
	require.False(t, c.Decide(epoch, newRequest("framers", 20*time.Second), p).Admitted)
}

const (
	tokens     = 1000
	arrivals   = 60_000
	smallEvery = 25
)

// runOverload simulates a server that computes a tenth of the requested tokens,
// with a large organisation that sends 24 times as many prompts as a small one. It
// returns the admitted tokens of each.
func runOverload(cfg Config) (large, small int64) {
	const (
		serviceRate = 10_000 // Tokens per second.
		limit       = 10 * time.Second
	)
	c := NewController(cfg)
	queue, now := 0.0, epoch
	rng := rand.New(rand.NewPCG(1, 1))
	for range arrivals {
		now = now.Add(10 * time.Millisecond)
		queue = max(0, queue-serviceRate*0.01)
		r := Request{Organisation: "large", Weight: 1, Tokens: tokens, Remaining: limit}
		if rng.IntN(smallEvery) == 0 {
			r.Organisation = "small"
		}
		p := Prediction{FirstToken: time.Duration(queue / serviceRate * float64(time.Second))}
		if !c.Decide(now, r, p).Admitted {
			continue
		}
		queue += tokens
		if r.Organisation == "small" {
			small += tokens
		} else {
			large += tokens
		}
	}
	return large, small
}

// TestSharesHoldUnderOverload guards against a large organisation crowding out a
// small one. The small one requests less than half of the capacity and gets nearly
// all that it requests; without shares it gets about a tenth.
func TestSharesHoldUnderOverload(t *testing.T) {
	const asked = arrivals / smallEvery * tokens
	_, small := runOverload(DefaultConfig())
	require.Greater(t, small, int64(0.9*asked))

	withoutShares := DefaultConfig()
	withoutShares.FullPressure = 0
	_, small = runOverload(withoutShares)
	require.Less(t, small, int64(0.3*asked))
}

func TestSharesCountOnlyActiveOrganisations(t *testing.T) {
	s := NewShares(time.Minute)
	s.Count(epoch, "large", 1, 9000)
	s.Count(epoch, "small", 1, 1000)
	require.InDelta(t, 5.0/9, s.DeadlineFraction(epoch, "large", 1), 1e-9)
	require.InDelta(t, 1, s.DeadlineFraction(epoch, "small", 1), 1e-9)
	require.InDelta(t, 1, s.DeadlineFraction(epoch, "unknown", 1), 1e-9)
	require.InDelta(t, 1, s.DeadlineFraction(epoch, "large", 99), 1e-9)
	require.InDelta(t, 1, s.DeadlineFraction(epoch.Add(time.Hour), "large", 1), 1e-9)
}

func TestConfigValidate(t *testing.T) {
	require.NoError(t, DefaultConfig().Validate())
	for _, change := range []func(*Config){
		func(c *Config) { c.Tolerance = -1 },
		func(c *Config) { c.MinRetry = 0 },
		func(c *Config) { c.FullPressure = 2 },
		func(c *Config) { c.ShareTime = 0 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		require.Error(t, cfg.Validate())
	}
}
