package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWindowAgainstAllEvents compares the window with a naive count over every
// event: in no span of its length may the repeats pass the bound.
func TestWindowAgainstAllEvents(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 3.0
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(length, ratio, allowance)
		now := time.Unix(5000, 0)
		var requests, repeats []time.Time
		count := func(list []time.Time, since time.Time) float64 {
			n := 0.0
			for _, at := range list {
				if at.After(since) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Requested(now)
				requests = append(requests, now)
				continue
			}
			if w.Take(now) {
				repeats = append(repeats, now)
			}
			// The window forgets in steps, so it may have forgotten up to one step
			// sooner than the naive count.
			since := now.Add(-length + length/windowSteps)
			bound := ratio*count(requests, now.Add(-length)) + allowance
			require.LessOrEqual(t, count(repeats, since), bound+1e-9)
		}
	})
}

// TestWindowForgets allows repeats again when the old ones have left the window.
func TestWindowForgets(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 1)
	now := time.Unix(5000, 0)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now.Add(8*time.Second)))
	require.True(t, w.Take(now.Add(11*time.Second)))
	w.SetBounds(0, 5)
	require.True(t, w.Take(now.Add(11*time.Second)))
}
