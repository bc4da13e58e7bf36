package platform

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusedRequestsDoNotUseUpShare sends far more requests than the share admits
// from many concurrent goroutines. It guards against refused requests taking tokens of
// the limiters, which would leave less than the share for admitted ones.
func TestRefusedRequestsDoNotUseUpShare(t *testing.T) {
	const (
		goroutines = 200
		seconds    = 10
		vms        = 5
	)
	synctest.Test(t, func(t *testing.T) {
		r := DefaultRates()
		l := newLimits(r, vms)
		end := time.Now().Add(seconds * time.Second)
		var admitted atomic.Int64
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for time.Now().Before(end) {
					if _, ok := l.admit(ClassCallWrite, time.Second); ok {
						admitted.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		share := r.CallShare * r.WritesPerSecond / writesPerCall / vms * seconds
		require.GreaterOrEqual(t, float64(admitted.Load()), share)
	})
}
