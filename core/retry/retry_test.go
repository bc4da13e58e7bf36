package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20260104")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestDelayNeverPassesTheDeadline(t *testing.T) {
	cfg := Default()
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		left := time.Duration(rapid.Int64Range(int64(cfg.MinLeft), int64(time.Hour)).Draw(t, "left"))
		attempts := rapid.IntRange(1, 100).Draw(t, "attempts")
		d := cfg.Delay(attempts, left, rng)
		require.GreaterOrEqual(t, d, time.Duration(0))
		require.LessOrEqual(t, d, min(cfg.MaxDelay, left-cfg.MinLeft))
	})
}

// The delays must cover the whole range from zero to the maximum.
func TestFullJitter(t *testing.T) {
	cfg := Default()
	rng := rand.New(rand.NewPCG(1, 1))
	low, high := 0, 0
	for range 1000 {
		d := cfg.Delay(3, time.Minute, rng)
		if d < cfg.BaseDelay {
			low++
		}
		if d > 3*cfg.BaseDelay {
			high++
		}
	}
	require.Greater(t, low, 150)
	require.Greater(t, high, 150)
}

// In any sequence of requests, the retries must not exceed the initial budget
// plus the share earned by the requests.
func TestBudgetIsAShare(t *testing.T) {
	cfg := Default()
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget(cfg)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				requests++
				b.Deposit(share)
				continue
			}
			if b.Available() {
				b.Withdraw()
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), cfg.BudgetFloor+share*float64(requests)+1e-6)
	})
}

func TestAllows(t *testing.T) {
	cfg := Default()
	require.True(t, cfg.Allows(1, 0, time.Second))
	require.False(t, cfg.Allows(cfg.MaxAttempts, 0, time.Second))
	require.False(t, cfg.Allows(1, 0, cfg.MinLeft))
	require.True(t, cfg.Allows(3, cfg.MaxCrashes-1, time.Second))
	require.False(t, cfg.Allows(3, cfg.MaxCrashes, time.Second))
}
