package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// graceTimeout is how long after its deadline an answer is still waited for.
	graceTimeout     = 5 * time.Second
	progressInterval = 500 * time.Millisecond
	idleConnections  = 256
)

// Options are what a run needs besides its mix.
type Options struct {
	// Addresses of callers' listeners, IP and port, used in turn.
	Addresses []string
	// Oracle checks the answers; nil for none.
	Oracle Oracle
	// Progress is called about twice a second, never concurrently; nil for none.
	Progress func(Progress)
}

// Progress tells how far a run is.
type Progress struct {
	Planned  int
	Sent     int
	Finished int
}

// Run sends the requests of the mix and waits for their answers. Cancelling ctx
// ends it early with what it has.
func Run(ctx context.Context, m Mix, opts Options) (Result, error) {
	if err := m.Validate(); err != nil {
		return Result{}, err
	}
	if len(opts.Addresses) == 0 {
		return Result{}, errors.WithStack(&MixError{"addresses", "at least one"})
	}
	r := &run{
		opts:      opts,
		items:     plan(&m),
		collector: newCollector(),
		slots:     make(chan struct{}, inFlight(&m)),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r.client = client{http: &http.Client{Transport: transport}, oracle: opts.Oracle}
	result := Result{Name: m.Name, Seed: m.Seed, StartedAt: time.Now(), Planned: len(r.items)}
	r.send(ctx)
	result.ElapsedMs = time.Since(result.StartedAt).Milliseconds()
	r.collector.fill(&result)
	return result, nil
}

func inFlight(m *Mix) int {
	if m.MaxInFlight > 0 {
		return m.MaxInFlight
	}
	return defaultInFlight
}

// run is one run under way.
type run struct {
	opts      Options
	items     []item
	client    client
	collector *collector
	slots     chan struct{}
	wg        sync.WaitGroup
	sent      int
}

// send sends each item at its time, then waits for the answers.
func (r *run) send(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	start := time.Now()
	for i := range r.items {
		if !r.wait(ctx, start.Add(r.items[i].at), tick) {
			break
		}
		r.start(ctx, i)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.wg.Wait()
	}()
	for {
		select {
		case <-done:
			r.progress()
			return
		case <-tick.C:
			r.progress()
		}
	}
}

// wait sleeps until the time; it reports whether ctx still stands.
func (r *run) wait(ctx context.Context, until time.Time, tick *time.Ticker) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-tick.C:
			r.progress()
		}
	}
}

// start sends the item in a goroutine of its own, unless too many are in
// flight.
func (r *run) start(ctx context.Context, i int) {
	it := &r.items[i]
	r.sent++
	select {
	case r.slots <- struct{}{}:
	default:
		r.collector.add(it, outcome{end: endSkipped})
		return
	}
	address := r.opts.Addresses[i%len(r.opts.Addresses)]
	next := r.opts.Addresses[(i+1)%len(r.opts.Addresses)]
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		if it.calls != nil {
			r.collector.add(it, r.client.call(ctx, address, next, it))
			return
		}
		r.collector.add(it, r.client.prompt(ctx, address, it))
	})
}

func (r *run) progress() {
	if r.opts.Progress == nil {
		return
	}
	r.collector.mu.Lock()
	finished := r.collector.totals.Requests
	r.collector.mu.Unlock()
	r.opts.Progress(Progress{Planned: len(r.items), Sent: r.sent, Finished: finished})
}
