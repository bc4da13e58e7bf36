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

// BenchmarkRecorded compares, in one run, a call that is recorded with one that
// is not, where the store and the service answer after the same time.
func BenchmarkRecorded(b *testing.B) {
	for _, delayMs := range []int64{0, 5} {
		b.Run(fmt.Sprintf("delay=%dms", delayMs), func(b *testing.B) {
			run := newTestRun(b, 1)
			run.platform.SetFaults(wire.PlatformFaults{DelayMs: delayMs})
			run.service.SetFaults(service.Faults{DelayMs: delayMs})
			vm := run.vms[0]
			unlimit(b, vm)
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

// unlimit gives the VM a store client whose rate does not bound the benchmark.
func unlimit(b *testing.B, r *Runner) {
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
	// limitedVMs share the store's rate, and limitedFor is how long they call
	// once what they had saved up is spent.
	limitedVMs = 5
	limitedFor = 4 * time.Second
)

// BenchmarkCallsWithinLimits counts the recorded calls a second that the store's
// rate allows five VMs that ask for many more.
func BenchmarkCallsWithinLimits(b *testing.B) {
	run := newTestRun(b, limitedVMs)
	for _, vm := range run.vms {
		vm.store.(*platform.Client).SetVMs(limitedVMs)
	}
	for range b.N {
		var done, refused atomic.Int64
		var counting atomic.Bool
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
						case !counting.Load():
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
		counting.Store(true)
		time.Sleep(limitedFor)
		counting.Store(false)
		writes = run.platform.Counts().Writes - writes
		close(stop)
		wg.Wait()
		for _, vm := range run.vms {
			vm.Wait()
		}
		b.ReportMetric(float64(done.Load())/limitedFor.Seconds(), "calls/s")
		b.ReportMetric(float64(writes)/limitedFor.Seconds(), "writes/s")
		b.ReportMetric(float64(refused.Load())/limitedFor.Seconds(), "refused/s")
	}
}
