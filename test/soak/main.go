// Command soak runs gateways as processes of this machine under faults drawn from a seed,
// and checks what callers and endpoints see while it runs. The store and the endpoints
// are stand-ins in this process; links to them pass through proxies.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// warmUp is the time before the first fault: a request that was never answered can't be told
// from one that crashes endpoints, if it is in flight wherever that one is.
const warmUp = time.Second

// recoveryTime is how long callers go on after the last fault, and recoveryDelay how
// long the VMs may take to serve again.
const (
	recoveryTime  = 4 * time.Second
	recoveryDelay = 4 * time.Second
)

// result is the outcome of one seed.
type result struct {
	seed       uint64
	checked    map[promise]int
	violations []string
	faults     []occurrence
	// start is when the faults began, and took the length of the run.
	start time.Time
	took  time.Duration
	// latencies are those of the requests that were served.
	latencies []latency
}

func main() { os.Exit(soak()) }

// soak runs the seeds that the flags name and returns the exit code.
func soak() int {
	seeds := flag.Int("seeds", 1, "number of seeds to run")
	first := flag.Uint64("seed", 1, "the first seed")
	length := flag.Duration("for", 15*time.Second, "time during which faults begin, for each seed")
	page := flag.String("html", "", "file to write a report with plots to; empty for none")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *first, *seeds, *length, *page); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	return 0
}

// violatedError reports seeds for which a promise was broken.
type violatedError struct{ Seeds []uint64 }

// Error implements error.
func (e *violatedError) Error() string { return fmt.Sprintf("promises broken with seeds %v", e.Seeds) }

// run runs the seeds, prints a row for each and writes the page unless its path is empty.
func run(ctx context.Context, first uint64, seeds int, length time.Duration, page string) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return errors.WithStack(err)
	}
	bin, err := program(dir)
	if err != nil {
		return err
	}
	fmt.Printf("checks of: %s\n%6s %6s %6s  checks\n", joinPromises(), "seed", "faults", "broken")
	var broken []uint64
	var results []result
	for seed := first; seed < first+uint64(seeds); seed++ {
		r, err := runSeed(ctx, bin, seed, length)
		if err != nil {
			return err
		}
		fmt.Printf("%6d %6d %6d ", seed, len(r.faults), len(r.violations))
		for _, p := range promises {
			fmt.Printf(" %6d", r.checked[p])
		}
		fmt.Println()
		results = append(results, r)
		if len(r.violations) > 0 {
			broken = append(broken, seed)
			fmt.Fprintf(os.Stderr, "seed %d:\n  %s\nfaults:\n", seed, strings.Join(r.violations, "\n  "))
			for _, o := range r.faults {
				fmt.Fprintf(os.Stderr, "  %s\n", o)
			}
		}
	}
	if page != "" {
		if err := writePage(page, results); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errors.WithStack(&violatedError{broken})
	}
	return errors.WithStack(os.RemoveAll(dir))
}

func joinPromises() string {
	names := make([]string, 0, len(promises))
	for _, p := range promises {
		names = append(names, string(p))
	}
	return strings.Join(names, "; ")
}

// runSeed runs one world under the faults of a seed. The order of the faults is that of
// the seed; what they meet depends on the machine as well. If the context ends, it ends
// the processes and returns the context's error.
func runSeed(ctx context.Context, bin string, seed uint64, length time.Duration) (result, error) {
	dir, err := os.MkdirTemp("", "soak-seed")
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	checks := newCheckers()
	w, err := newWorld(bin, dir, seed, checks)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return result{}, err
	}
	r := result{seed: seed, start: time.Now()}
	f := &faults{w: w, random: rand.New(rand.NewPCG(seed, seed)), busy: make(map[string]bool), log: func(kind faultKind, name string, length time.Duration) {
		from := time.Since(r.start)
		r.faults = append(r.faults, occurrence{kind, name, from, from + length})
	}}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var wg sync.WaitGroup
	for i, v := range w.vms {
		for n := range callersPerVM {
			wg.Go(func() { w.runCaller(callers, v, fmt.Sprintf("c%d.%d", i, n)) })
		}
		wg.Go(func() { w.runProbe(callers, v, fmt.Sprintf("p%d", i)) })
		wg.Go(func() { w.runReadiness(callers, v) })
	}
	sleep(ctx, warmUp)
	w.recordMemory(checks.startedWith)
	faulty, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	f.run(faulty)
	sleep(ctx, recoveryDelay)
	checks.endFaults(time.Now())
	sleep(ctx, recoveryTime)
	w.recordMemory(checks.endedWith)
	stopCallers()
	wg.Wait()
	if ctx.Err() != nil {
		return result{}, errors.WithStack(ctx.Err())
	}
	r.violations = checks.finish()
	r.checked, r.latencies, r.took = checks.checked, checks.latencies, time.Since(r.start)
	if len(r.violations) > 0 {
		r.violations = append(r.violations, "logs in "+dir)
		return r, nil
	}
	return r, errors.WithStack(os.RemoveAll(dir))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
