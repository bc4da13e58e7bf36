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

// TestRatesAreChecked checks that each rate and limit must be positive.
func TestRatesAreChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Rates){
		"WritesPerSecond": func(r *Rates) { r.WritesPerSecond = 0 },
		"ReadsPerSecond":  func(r *Rates) { r.ReadsPerSecond = -1 },
		"CallShare":       func(r *Rates) { r.CallShare = 1.1 },
		"Burst":           func(r *Rates) { r.Burst = -time.Second },
		"MaxWait":         func(r *Rates) { r.MaxWait = 0 },
	} {
		r := DefaultRates()
		require.NoError(t, r.validate())
		spoil(&r)
		var invalid *ConfigError
		require.ErrorAs(t, r.validate(), &invalid, field)
		require.Equal(t, field, invalid.Field)
	}
}
