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
	// pollTick is the interval at which the VM starts the polls that are due.
	pollTick    = 100 * time.Millisecond
	pollTimeout = 400 * time.Millisecond
	// pollsPerSecond bounds the control traffic of one VM. The poll interval grows
	// with the number of endpoints in its scope, up to maxPollInterval; with more of
	// them, polls that are due wait.
	pollsPerSecond = 10
	// minPollInterval and maxPollInterval bound the interval after which the next poll
	// of an endpoint is due.
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 5 * time.Second
	// maxCacheEventEndpoints is the maximum number of endpoints in scope for which cache
	// events are read. Above it their volume would exceed the bound on control
	// traffic, and the prefix caches are predicted from answers alone.
	maxCacheEventEndpoints = 32
	// maxConcurrentPolls is the maximum number of polls in progress.
	maxConcurrentPolls = 16
)

// pollInterval returns the time between two polls of one endpoint, given the number of
// endpoints in scope.
func pollInterval(endpoints int) time.Duration {
	interval := time.Duration(endpoints) * time.Second / pollsPerSecond
	return min(max(interval, minPollInterval), maxPollInterval)
}

func (f *Fleet) run() {
	defer close(f.done)
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentPolls)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, t := range f.takeDue(time.Now(), cap(slots)-len(slots)) {
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

// pollTarget is an endpoint to poll.
type pollTarget struct {
	id       string
	endpoint configuration.Endpoint
	// readEvents is set when the endpoint's cache events after sequence are read too.
	readEvents bool
	sequence   int64
}

// takeDue returns at most limit endpoints whose poll is due, those polled longest ago
// first, and marks them as polled.
func (f *Fleet) takeDue(now time.Time, limit int) []pollTarget {
	snap := f.follower.Current()
	if snap == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.inScope(snap)
	f.endpointsInScope = len(ids)
	interval := pollInterval(len(ids))
	var targets []pollTarget
	for _, id := range ids {
		st := f.state(id, snap.Endpoints[id])
		if now.Sub(st.polledAt) < interval {
			continue
		}
		targets = append(targets, pollTarget{
			id:         id,
			endpoint:   snap.Endpoints[id],
			readEvents: len(ids) <= maxCacheEventEndpoints,
			sequence:   st.model.Prefixes.Sequence(),
		})
	}
	slices.SortStableFunc(targets, func(a, b pollTarget) int {
		return f.states[a.id].polledAt.Compare(f.states[b.id].polledAt)
	})
	targets = targets[:f.allowPolls(now, min(len(targets), limit))]
	for _, t := range targets {
		f.states[t.id].polledAt = now
	}
	return targets
}

// allowPolls returns how many of n polls may be started now, and counts them.
func (f *Fleet) allowPolls(now time.Time, n int) int {
	n = min(n, int(f.polls.TokensAt(now)))
	f.polls.AllowN(now, n)
	return n
}

// inScope returns the model endpoints in this VM's scope, and deletes the state of
// endpoints that are no longer in the configuration. The caller holds f.mu.
func (f *Fleet) inScope(snap *confsync.Snapshot) []string {
	var ids []string
	for name, s := range snap.Services {
		if s.Kind == configuration.KindModel {
			ids = append(ids, f.scope.endpoints(snap, name)...)
		}
	}
	for id := range f.states {
		if _, ok := snap.Endpoints[id]; !ok {
			delete(f.states, id)
		}
	}
	return ids
}

// poll reads the load report of one endpoint and, if readEvents is set, its cache
// events.
func (f *Fleet) poll(t pollTarget) {
	report, err := f.caller.Load(t.endpoint.Address, pollTimeout)
	f.applyPoll(t.id, t.endpoint, report, err)
	if err == nil && f.health != nil {
		f.health.Reported(t.id, report.Incarnation, report.Leaving)
	}
	if err != nil || !t.readEvents {
		return
	}
	events, err := f.caller.CacheEvents(t.endpoint.Address, t.sequence, pollTimeout)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(t.id, t.endpoint).model.Prefixes.Apply(time.Now(), events)
}

// applyPoll applies the result of a poll: a load report or an error.
func (f *Fleet) applyPoll(id string, e configuration.Endpoint, report wire.LoadReport, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, e)
	if err != nil {
		f.markSilent(id, st, err.Error())
		return
	}
	if !st.alive {
		f.log.Emit(event.EndpointBack{Endpoint: id})
	}
	st.alive = true
	f.applyReport(id, e, st, report)
}

// Reported applies the load report that came with an answer of the endpoint. When polls
// read no cache events, it also postpones the endpoint's next poll by a full interval,
// so a busy VM polls rarely.
func (f *Fleet) Reported(id string, e configuration.Endpoint, report wire.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st, ok := f.states[id]
	if !ok || !st.alive || report.AtMs <= st.reportedMs {
		return
	}
	if f.endpointsInScope > maxCacheEventEndpoints {
		st.polledAt = time.Now()
	}
	f.applyReport(id, e, st, report)
}

// applyReport applies a load report of an endpoint that is alive. A new incarnation
// resets the endpoint's model. The caller holds f.mu.
func (f *Fleet) applyReport(id string, e configuration.Endpoint, st *endpointState, report wire.LoadReport) {
	if st.incarnation != "" && st.incarnation != report.Incarnation {
		st.model = newModel(f.cfg, id, e)
	}
	st.incarnation = report.Incarnation
	st.reportedMs = report.AtMs
	st.leaving = report.Leaving
	st.model.Report(time.Now(), report)
}
