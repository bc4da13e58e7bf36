package call

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// BenchmarkRecordedCall compares, in one run, the latency of a recorded call
// with that of an unrecorded one. The store and the service have the same
// response delay.
func BenchmarkRecordedCall(b *testing.B) {
	for _, delayMs := range []int64{0, 5} {
		b.Run(fmt.Sprintf("delay=%dms", delayMs), func(b *testing.B) {
			run := newTestRun(b, 1)
			run.platform.SetFaults(wire.PlatformFaults{DelayMs: delayMs})
			run.service.SetFaults(service.Faults{DelayMs: delayMs})
			vm := run.vms[0]
			raiseRateLimits(b, vm)
			var recorded, plain time.Duration
			for i := range b.N {
				start := time.Now()
				_, err := vm.Once(run.request("r", fmt.Sprint("k-", i), "100"))
				require.NoError(b, err)
				recorded += time.Since(start)
				start = time.Now()
				_, err = vm.Idempotent(run.request("r", "", "100"))
				require.NoError(b, err)
				plain += time.Since(start)
			}
			b.ReportMetric(float64(recorded)/float64(plain), "recorded/unrecorded")
		})
	}
}

// raiseRateLimits gives the VM a store client with rate limits that the benchmark
// does not reach.
func raiseRateLimits(b *testing.B, r *Runner) {
	cfg := platform.DefaultConfig(address(r), time.Second)
	cfg.Rates.WritesPerSecond = 1e6
	cfg.Rates.ReadsPerSecond = 1e6
	store, err := platform.NewClient(cfg)
	require.NoError(b, err)
	b.Cleanup(store.Close)
	r.store = store
}

func address(r *Runner) string { return r.store.(*platform.Client).Address() }

const (
	// rateLimitedVMs is the number of VMs that share the store's rate limit.
	// measureTime is the length of the measurement, which starts once the burst
	// allowance is used up.
	rateLimitedVMs = 5
	measureTime    = 4 * time.Second
)

// BenchmarkRateLimitedCalls measures the rate of recorded calls that the
// store's rate limit allows for five VMs whose demand is far above it.
func BenchmarkRateLimitedCalls(b *testing.B) {
	run := newTestRun(b, rateLimitedVMs)
	for _, vm := range run.vms {
		vm.store.(*platform.Client).SetVMs(rateLimitedVMs)
	}
	for range b.N {
		var done, refused atomic.Int64
		var measuring atomic.Bool
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for i, vm := range run.vms {
			for j := range 32 {
				wg.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						_, err := vm.Once(run.request("r", fmt.Sprint(time.Now().UnixNano(), i, j, n), "100"))
						switch {
						case !measuring.Load():
						case err == nil:
							done.Add(1)
						default:
							refused.Add(1)
						}
					}
				})
			}
		}
		time.Sleep(platform.DefaultRates().Burst)
		writes := run.platform.Counts().Writes
		measuring.Store(true)
		time.Sleep(measureTime)
		measuring.Store(false)
		writes = run.platform.Counts().Writes - writes
		close(stop)
		wg.Wait()
		for _, vm := range run.vms {
			vm.Wait()
		}
		b.ReportMetric(float64(done.Load())/measureTime.Seconds(), "calls/s")
		b.ReportMetric(float64(writes)/measureTime.Seconds(), "writes/s")
		b.ReportMetric(float64(refused.Load())/measureTime.Seconds(), "refused/s")
	}
}
