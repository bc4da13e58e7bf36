package fleet

import (
	"slices"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// pollTick is how often the VM looks for endpoints that are due.
	pollTick    = 100 * time.Millisecond
	pollTimeout = 400 * time.Millisecond
	// pollsPerSecond bounds the control traffic of one VM: the more endpoints
	// are in view, the older their reports get.
	pollsPerSecond = 10
	// minPollInterval and maxPollInterval bound the age of one endpoint's
	// report, beyond the lag of the report itself.
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 5 * time.Second
	// cacheEventEndpoints is the most endpoints in view whose cache events are
	// read; above it their bytes would not fit the bound on control traffic, and
	// the prefix caches are known from answers alone.
	cacheEventEndpoints = 32
	// pollers bounds the polls under way at once.
	pollers = 16
)

// pollInterval is the time between two polls of one endpoint with so many in
// view.
func pollInterval(endpoints int) time.Duration {
	interval := time.Duration(endpoints) * time.Second / pollsPerSecond
	return min(max(interval, minPollInterval), maxPollInterval)
}

func (f *Fleet) run() {
	defer close(f.done)
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	slots := make(chan struct{}, pollers)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, t := range f.due(time.Now(), cap(slots)-len(slots)) {
			slots <- struct{}{}
			wg.Go(func() {
				f.poll(t)
				<-slots
			})
		}
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

// target is an endpoint to poll.
type target struct {
	id       string
	endpoint configuration.Endpoint
	// events says whether its cache events are read, those after sequence.
	events   bool
	sequence int64
}

// due takes at most limit endpoints whose poll is due, the longest ago first.
func (f *Fleet) due(now time.Time, limit int) []target {
	snap := f.follower.Current()
	if snap == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.inView(snap)
	f.viewed = len(ids)
	interval := pollInterval(len(ids))
	var targets []target
	for _, id := range ids {
		st := f.state(id, snap.Endpoints[id])
		if now.Sub(st.polled) < interval {
			continue
		}
		targets = append(targets, target{
			id:       id,
			endpoint: snap.Endpoints[id],
			events:   len(ids) <= cacheEventEndpoints,
			sequence: st.known.Prefixes.Sequence(),
		})
	}
	slices.SortStableFunc(targets, func(a, b target) int {
		return f.states[a.id].polled.Compare(f.states[b.id].polled)
	})
	targets = targets[:min(len(targets), limit)]
	for _, t := range targets {
		f.states[t.id].polled = now
	}
	return targets
}

// inView lists the model endpoints in view, and forgets those that left the
// configuration. The lock is held.
func (f *Fleet) inView(snap *confsync.Snapshot) []string {
	var ids []string
	for name, s := range snap.Services {
		if s.Kind == configuration.KindModel {
			ids = append(ids, f.scope.of(snap, name)...)
		}
	}
	for id := range f.states {
		if _, ok := snap.Endpoints[id]; !ok {
			delete(f.states, id)
		}
	}
	return ids
}

// poll reads one endpoint's load and cache events.
func (f *Fleet) poll(t target) {
	report, err := f.caller.Load(t.endpoint.Address, pollTimeout)
	f.note(t.id, t.endpoint, report, err)
	if err == nil && f.health != nil {
		f.health.Reported(t.id, report.Incarnation, report.Leaving)
	}
	if err != nil || !t.events {
		return
	}
	events, err := f.caller.CacheEvents(t.endpoint.Address, t.sequence, pollTimeout)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(t.id, t.endpoint).known.Prefixes.Apply(time.Now(), events)
}

// note takes a load report, or the failure to get one.
func (f *Fleet) note(id string, e configuration.Endpoint, report wire.LoadReport, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, e)
	if err != nil {
		f.silent(id, st, err.Error())
		return
	}
	if !st.alive {
		f.log.Emit(event.EndpointBack{Endpoint: id})
	}
	st.alive = true
	f.take(id, e, st, report)
}

// Reported takes the load report that came with an answer of the endpoint. With
// so many endpoints in view that polls read nothing else, its next poll is due
// that much later: a busy VM hardly polls.
func (f *Fleet) Reported(id string, e configuration.Endpoint, report wire.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st, ok := f.states[id]
	if !ok || !st.alive || report.AtMs <= st.reportedMs {
		return
	}
	if f.viewed > cacheEventEndpoints {
		st.polled = time.Now()
	}
	f.take(id, e, st, report)
}

// take takes a report of an endpoint that lives. The lock is held.
func (f *Fleet) take(id string, e configuration.Endpoint, st *state, report wire.LoadReport) {
	if st.incarnation != "" && st.incarnation != report.Incarnation {
		st.known = newKnown(f.cfg, id, e)
	}
	st.incarnation = report.Incarnation
	st.reportedMs = report.AtMs
	st.leaving = report.Leaving
	st.known.Report(time.Now(), report)
}
