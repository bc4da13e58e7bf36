// Package fleet keeps what this VM knows of the endpoints: the last load report
// of each, and what this VM sent since.
package fleet

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// defaultRate is the prefill speed, in tokens a second, of an endpoint that
	// has told none.
	defaultRate = 10_000
)

// state is what is known of one endpoint.
type state struct {
	report  wire.LoadReport
	alive   bool
	pending map[string]sent
}

// sent is a prompt that this VM sent and that has no first token yet.
type sent struct {
	at       time.Time
	tokens   int64
	priority wire.Priority
}

// Fleet is safe for concurrent use.
type Fleet struct {
	caller   *endpoint.Caller
	follower *confsync.Follower
	mu       sync.Mutex
	states   map[string]*state
	stop     chan struct{}
	done     chan struct{}
}

// New returns a Fleet over the endpoints of the configuration in force.
func New(caller *endpoint.Caller, follower *confsync.Follower) *Fleet {
	return &Fleet{
		caller:   caller,
		follower: follower,
		states:   make(map[string]*state),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Start begins to poll load reports.
func (f *Fleet) Start() { go f.run() }

// Stop ends it.
func (f *Fleet) Stop() {
	close(f.stop)
	<-f.done
}

func (f *Fleet) run() {
	defer close(f.done)
	for {
		f.pollAll()
		select {
		case <-f.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) pollAll() {
	snap := f.follower.Current()
	if snap == nil {
		return
	}
	var wg sync.WaitGroup
	for id, e := range snap.Endpoints {
		if snap.Services[e.Service].Kind != "model" {
			continue
		}
		wg.Go(func() {
			report, err := f.caller.Load(e.Address, pollTimeout)
			f.note(id, report, err)
		})
	}
	wg.Wait()
}

func (f *Fleet) note(id string, report wire.LoadReport, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id)
	st.alive = err == nil
	if err == nil {
		st.report = report
	}
}

func (f *Fleet) state(id string) *state {
	st := f.states[id]
	if st == nil {
		st = &state{alive: true, pending: make(map[string]sent)}
		f.states[id] = st
	}
	return st
}

// Views returns the endpoints of the service that take work.
func (f *Fleet) Views(snap *confsync.Snapshot, service string, except map[string]bool) []placement.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []placement.View
	for id, e := range snap.Endpoints {
		if e.Service != service || e.Leaving || except[id] {
			continue
		}
		st := f.state(id)
		if !st.alive || st.report.Leaving {
			continue
		}
		views = append(views, st.view(id, e.MemoryTokens, e.PrefillRate))
	}
	return views
}

func (s *state) view(id string, memory int64, rate float64) placement.View {
	v := placement.View{ID: id, Queued: s.report.QueuedTokens, Rate: s.report.PrefillRate, Memory: memory}
	if v.Rate == 0 {
		v.Rate = rate
	}
	if v.Rate == 0 {
		v.Rate = defaultRate
	}
	for _, p := range s.pending {
		if p.at.UnixMilli() > s.report.AtMs {
			v.Queued[p.priority] += p.tokens
		}
		if p.priority == wire.PriorityLow {
			v.Waiting++
		}
	}
	return v
}

// Sent notes an attempt that was sent to the endpoint.
func (f *Fleet) Sent(id, attempt string, tokens int64, priority wire.Priority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).pending[attempt] = sent{time.Now(), tokens, priority}
}

// Started notes that the attempt had its first token, or ended.
func (f *Fleet) Started(id, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.state(id).pending, attempt)
}

// Failed notes that the endpoint failed; it gets no work until it reports.
func (f *Fleet) Failed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).alive = false
}
