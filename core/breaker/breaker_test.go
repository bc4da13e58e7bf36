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

var start = time.Unix(1_000, 0)

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
	b.Failed(start, 0)
	b.Succeeded()
	require.True(t, b.Clean())
	trip(b, start, 0.5)
	require.Equal(t, Open, b.State())
	require.False(t, b.Admits(start, 0))
	require.Equal(t, start.Add(Default().OpenFor), b.OpenUntil())
}

func TestRecoversByGrowingShares(t *testing.T) {
	b := newBreaker(t)
	trip(b, start, 0.5)
	now := b.OpenUntil()
	require.False(t, b.Admits(now, Default().ProbeShare))
	require.True(t, b.Admits(now, 0))
	b.Sent(now)
	require.False(t, b.Admits(now, 0), "a second probe")
	require.True(t, b.Admits(now.Add(Default().ProbeLimit), 0), "a lost probe blocks the next one forever")
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
	now, last := start, time.Duration(0)
	trip(b, now, 0.5)
	for range 20 {
		open := b.OpenUntil().Sub(now)
		require.GreaterOrEqual(t, open, last)
		require.LessOrEqual(t, open, Default().MaxOpenFor)
		last, now = open, b.OpenUntil()
		require.True(t, b.Admits(now, 0))
		b.Failed(now, 0.5)
	}
	require.Equal(t, Default().MaxOpenFor, last)
}

// Guards against a thundering herd: counts the requests of 450 VMs to an
// endpoint that all of them saw fail at the same moment, after the latest
// possible end of their first open times.
func TestNoThunderingHerd(t *testing.T) {
	const vms = 450
	rng := rand.New(rand.NewPCG(1, 1))
	breakers := make([]*Breaker, vms)
	for i := range breakers {
		breakers[i] = newBreaker(t)
		trip(breakers[i], start, rng.Float64())
	}
	now := start.Add(2 * Default().OpenFor)
	sent := 0
	for _, b := range breakers {
		for range 10 {
			if b.Admits(now, rng.Float64()) {
				b.Sent(now)
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, vms, "more than one probe a VM")
	reopened := map[time.Duration]bool{}
	for _, b := range breakers {
		reopened[b.OpenUntil().Sub(start).Truncate(50*time.Millisecond)] = true
	}
	require.Greater(t, len(reopened), 15, "the VMs reopen at the same time")
}

// Drives a breaker with random results: an open breaker admits nothing before
// its open time has passed, and a closed one admits everything.
func TestRandomResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBreaker(t)
		now := start
		consecutive := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "elapsed")))
			draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
			if !b.Admits(now, draw) {
				require.NotEqual(t, Closed, b.State())
				continue
			}
			require.NotEqual(t, Open, b.State())
			b.Sent(now)
			if rapid.Bool().Draw(t, "ok") {
				consecutive = 0
				b.Succeeded()
			} else {
				consecutive++
				b.Failed(now, draw)
			}
			require.False(t, b.State() == Closed && consecutive >= Default().Failures)
		}
	})
}
