package entry

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// agedCopy is a copy that was confirmed the given time ago.
type agedCopy struct{ age atomic.Int64 }

func (c *agedCopy) Unconfirmed() time.Duration { return time.Duration(c.age.Load()) }

func (c *agedCopy) set(d time.Duration) { c.age.Store(int64(d)) }

// TestRequestsWaitAfterSuspension checks that a request waits while a copy has not been
// confirmed for longer than a running VM takes, until it is, and for a bounded time.
func TestRequestsWaitAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := event.New(io.Discard, "json", "info", "vm")
		require.NoError(t, err)
		a, b := &agedCopy{}, &agedCopy{}
		f := &freshness{log: log, copies: func() []copyOfTopic { return []copyOfTopic{a, b} }}
		await := func() time.Duration {
			start := time.Now()
			f.Await(t.Context())
			return time.Since(start)
		}
		b.set(maxUnconfirmed)
		require.Zero(t, await())
		b.set(maxUnconfirmed + 1)
		require.Equal(t, confirmationWait, await(), "without confirmation")
		go func() {
			time.Sleep(50 * time.Millisecond)
			b.set(0)
		}()
		require.InDelta(t, 50*time.Millisecond, await(), float64(confirmationInterval))
		require.Zero(t, await())
		require.False(t, f.suspended.Load())
	})
}
