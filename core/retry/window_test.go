package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Compares the window with an exact count over all events: in no span of the
// window's length may the retries exceed the bound.
func TestWindowAgainstAllEvents(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 3.0
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(length, ratio, allowance)
		now := time.Unix(5000, 0)
		var requests, retries []time.Time
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
				w.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.Take(now) {
				retries = append(retries, now)
			}
			// Expiry has the granularity of an interval, so a retry may expire
			// up to one interval earlier than in the exact count.
			since := now.Add(-length + length/windowIntervals)
			bound := ratio*count(requests, now.Add(-length)) + allowance
			require.LessOrEqual(t, count(retries, since), bound+1e-9)
		}
	})
}

// Retries are allowed again once the earlier ones have left the window.
func TestWindowExpiresRetries(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 1)
	now := time.Unix(5000, 0)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now.Add(8*time.Second)))
	require.True(t, w.Take(now.Add(11*time.Second)))
	w.SetBounds(0, 5)
	require.True(t, w.Take(now.Add(11*time.Second)))
}
