package breaker

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

func init() {
	_ = flag.Set("rapid.seed", "20260104")
	_ = flag.Set("rapid.nofailfile", "true")
}

var zero = time.Unix(1_000, 0)

func newBreaker(t require.TestingT) *Breaker {
	b, err := New(Default(), statechart.MustLoad("endpoint"))
	require.NoError(t, err)
	return b
}

func trip(b *Breaker, now time.Time, draw float64) {
	for range Default().Failures {
		b.Failed(now, draw)
	}
}

func TestOpensAfterFailuresInARow(t *testing.T) {
	b := newBreaker(t)
	b.Failed(zero, 0)
	b.Succeeded()
	require.True(t, b.Clean())
	trip(b, zero, 0.5)
	require.Equal(t, Open, b.State())
	require.False(t, b.Admits(zero, 0))
	require.Equal(t, zero.Add(Default().OpenFor), b.Until())
}

func TestRecoversByGrowingShares(t *testing.T) {
	b := newBreaker(t)
	trip(b, zero, 0.5)
	now := b.Until()
	require.False(t, b.Admits(now, Default().ProbeShare))
	require.True(t, b.Admits(now, 0))
	b.Sent(now)
	require.False(t, b.Admits(now, 0), "a second probe")
	require.True(t, b.Admits(now.Add(Default().ProbeLimit), 0), "a lost probe holds back the next for good")
	b.Succeeded()
	require.Equal(t, Recovering, b.State())
	require.True(t, b.Admits(now, 0.2))
	require.False(t, b.Admits(now, 0.3))
	for b.State() == Recovering {
		b.Succeeded()
	}
	require.True(t, b.Clean())
}

func TestStaysOpenLongerWithEachTrip(t *testing.T) {
	b := newBreaker(t)
	now, last := zero, time.Duration(0)
	trip(b, now, 0.5)
	for range 20 {
		open := b.Until().Sub(now)
		require.GreaterOrEqual(t, open, last)
		require.LessOrEqual(t, open, Default().MaxOpenFor)
		last, now = open, b.Until()
		require.True(t, b.Admits(now, 0))
		b.Failed(now, 0.5)
	}
	require.Equal(t, Default().MaxOpenFor, last)
}

// TestNoHerd counts what 450 VMs send at once to an endpoint that they all saw
// fail at the same moment, in the first step after each could have reopened.
func TestNoHerd(t *testing.T) {
	const vms = 450
	rng := rand.New(rand.NewPCG(1, 1))
	set := make([]*Breaker, vms)
	for i := range set {
		set[i] = newBreaker(t)
		trip(set[i], zero, rng.Float64())
	}
	now := zero.Add(2 * Default().OpenFor)
	sent := 0
	for _, b := range set {
		for range 10 {
			if b.Admits(now, rng.Float64()) {
				b.Sent(now)
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, vms, "more than one probe a VM")
	reopened := map[time.Duration]bool{}
	for _, b := range set {
		reopened[b.Until().Sub(zero).Truncate(50*time.Millisecond)] = true
	}
	require.Greater(t, len(reopened), 15, "the VMs come back together")
}

// TestAgainstOracle drives breakers at random: an open one admits nothing before
// its time, and a closed one everything.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBreaker(t)
		now := zero
		inRow := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passed")))
			draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
			if !b.Admits(now, draw) {
				require.NotEqual(t, Closed, b.State())
				continue
			}
			require.NotEqual(t, Open, b.State())
			b.Sent(now)
			if rapid.Bool().Draw(t, "ok") {
				inRow = 0
				b.Succeeded()
			} else {
				inRow++
				b.Failed(now, draw)
			}
			require.False(t, b.State() == Closed && inRow >= Default().Failures)
		}
	})
}
