package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// graceTimeout is how long to wait for an answer beyond the requested timeout.
	graceTimeout     = 5 * time.Second
	progressInterval = 500 * time.Millisecond
	idleConnections  = 256
)

// Options configure a run in addition to its mix.
type Options struct {
	// Addresses are the listeners for callers, as IP and port, used in turn.
	Addresses []string
	// Oracle returns the correct answers; if nil, the texts are not checked.
	Oracle Oracle
	// Progress, if not nil, is called about twice a second, never concurrently.
	Progress func(Progress)
}

// Progress is the progress of a run in requests. Sent and Finished include
// skipped requests.
type Progress struct {
	Planned  int
	Sent     int
	Finished int
}

// Run sends the requests of the mix and waits for their answers. If ctx is
// cancelled, it stops early and returns the results so far. It returns a MixError
// for an invalid mix or if there is no address.
func Run(ctx context.Context, m Mix, opts Options) (Result, error) {
	if err := m.Validate(); err != nil {
		return Result{}, err
	}
	if len(opts.Addresses) == 0 {
		return Result{}, errors.WithStack(&MixError{"addresses", "at least one address"})
	}
	r := &run{
		opts:      opts,
		planned:   plan(&m),
		collector: newCollector(),
		slots:     make(chan struct{}, maxInFlight(&m)),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r.client = client{http: &http.Client{Transport: transport}, oracle: opts.Oracle}
	result := Result{Name: m.Name, Seed: m.Seed, StartedAt: time.Now(), Planned: len(r.planned)}
	r.send(ctx)
	result.ElapsedMs = time.Since(result.StartedAt).Milliseconds()
	r.collector.fill(&result)
	return result, nil
}

func maxInFlight(m *Mix) int {
	if m.MaxInFlight > 0 {
		return m.MaxInFlight
	}
	return defaultInFlight
}

// run is the state of one run.
type run struct {
	opts      Options
	planned   []plannedRequest
	client    client
	collector *collector
	slots     chan struct{}
	wg        sync.WaitGroup
	sent      int
}

// send sends each planned request at its time, then waits for the answers.
func (r *run) send(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	start := time.Now()
	for i := range r.planned {
		if !r.sleepUntil(ctx, start.Add(r.planned[i].sendAt), tick) {
			break
		}
		r.sendAsync(ctx, i)
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

// sleepUntil sleeps until the time and reports progress meanwhile. It returns
// false if ctx is cancelled first.
func (r *run) sleepUntil(ctx context.Context, until time.Time, tick *time.Ticker) bool {
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

// sendAsync sends the request in a goroutine of its own, or skips it if too many
// are in flight.
func (r *run) sendAsync(ctx context.Context, i int) {
	it := &r.planned[i]
	r.sent++
	select {
	case r.slots <- struct{}{}:
	default:
		r.collector.add(it, outcome{status: statusSkipped})
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
	r.opts.Progress(Progress{Planned: len(r.planned), Sent: r.sent, Finished: finished})
}
