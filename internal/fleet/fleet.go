// Package fleet maintains this VM's view of the model endpoints and uses it for
// admission and placement, by core/admission and core/placement. The view is built from
// the endpoints' load reports and cache events, the prompts that this VM and its peers
// have sent since, and the measurements of completed answers.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cornelsaddle.example/cornelsaddle/core/admission"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// endpointState is this VM's state of one endpoint.
type endpointState struct {
	model       *placement.Endpoint
	alive       bool
	leaving     bool
	incarnation string
	// reportedMs is the time stamp of the last load report, in milliseconds since
	// the epoch.
	reportedMs int64
	// polledAt is the start time of the last poll, or the time of a later report with an
	// answer that postponed the next poll.
	polledAt time.Time
	// ownTotals is what this VM has sent to the endpoint, and peerTotals the last
	// entry of each peer for it, by VM.
	ownTotals  sendTotals
	peerTotals map[string]DigestEntry
}

// Fleet is this VM's state of the endpoints in its scope. It is safe for concurrent use.
type Fleet struct {
	caller   *endpoint.Caller
	follower *confsync.Follower
	log      *event.Logger
	cfg      placement.Config
	stop     chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	states map[string]*endpointState
	// endpointsInScope is the number of model endpoints in this VM's scope at the last
	// poll tick.
	endpointsInScope int
	picker           *placement.Picker
	// controllers are the admission controllers, by service.
	controllers map[string]*admission.Controller
	// admitted are the admitted prompts whose requests have not ended, by request ID.
	admitted map[string]admittedPrompt
	scope    *scope
	// notify sends a notice to the peers; nil if there are none.
	notify func(digest []byte)
	// notices limits the rate of all notices, and shortNotices that of notices for
	// prefills below longNoticeTokens.
	notices, shortNotices *rate.Limiter
	// lastDigestMs is Digest.AtMs of the last digest from each peer, by VM.
	lastDigestMs map[string]int64
	// startedMs is when this process started, in milliseconds since the epoch, and
	// peerStartedMs what each peer tells of that, by VM.
	startedMs     int64
	peerStartedMs map[string]int64
	// polls limits the rate of polls.
	polls *rate.Limiter
	// views is reused by placements to avoid allocations.
	views  []placement.View
	health Health
	rng    *rand.Rand
}

// Health determines which endpoints get new work.
type Health interface {
	// Reported records that an endpoint returned a load report, with the report's
	// incarnation and leaving state. It is not called under a lock.
	Reported(id, incarnation string, leaving bool)
	// Share returns the fraction of its usual work that an endpoint gets, from 0 to 1.
	Share(id string) float64
}

// SetHealth sets the source of endpoint health. It must be called before Start.
func (f *Fleet) SetHealth(h Health) { f.health = h }

// isOffered reports whether the endpoint is offered to a prompt, at random with the
// probability Health.Share: zero while the endpoint is leaving, and below 1 for some
// time after it has returned. The caller holds f.mu.
func (f *Fleet) isOffered(id string) bool {
	if f.health == nil {
		return true
	}
	share := f.health.Share(id)
	return share >= 1 || f.rng.Float64() < share
}

// New returns a Fleet of the endpoints in the follower's current configuration.
func New(caller *endpoint.Caller, follower *confsync.Follower, log *event.Logger) *Fleet {
	cfg := placement.DefaultConfig()
	return &Fleet{
		caller:   caller,
		follower: follower,
		log:      log,
		cfg:      cfg,
		states:   make(map[string]*endpointState),
		scope:    &scope{},

		controllers:  make(map[string]*admission.Controller),
		admitted:     make(map[string]admittedPrompt),
		lastDigestMs: make(map[string]int64),

		startedMs:     time.Now().UnixMilli(),
		peerStartedMs: make(map[string]int64),
		polls:         rate.NewLimiter(pollsPerSecond, maxConcurrentPolls),

		notices:      rate.NewLimiter(noticesPerSecond, noticesPerSecond),
		shortNotices: rate.NewLimiter(shortNoticesPerSecond, shortNoticesPerSecond),

		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		picker: placement.NewPicker(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// Start starts polling the endpoints.
func (f *Fleet) Start() { go f.run() }

// Stop stops polling and waits for the polls in progress.
func (f *Fleet) Stop() {
	close(f.stop)
	<-f.done
}

// state returns the state of the endpoint, and creates it if there is none. The caller
// holds f.mu.
func (f *Fleet) state(id string, e configuration.Endpoint) *endpointState {
	st := f.states[id]
	if st == nil {
		st = &endpointState{alive: true, model: newModel(f.cfg, id, e)}
		st.ownTotals.entry.Endpoint = id
		f.states[id] = st
	}
	return st
}

func newModel(cfg placement.Config, id string, e configuration.Endpoint) *placement.Endpoint {
	return placement.NewEndpoint(cfg, id, e.MemoryTokens, e.PrefillRate)
}

// model returns the placement model of the endpoint of an attempt. The caller holds
// f.mu.
func (f *Fleet) model(id string) *placement.Endpoint {
	return f.state(id, configuration.Endpoint{}).model
}

// Views returns the placement views of the service's endpoints that take work, other
// than those in except.
func (f *Fleet) Views(snap *confsync.Snapshot, service string, except map[string]bool) []placement.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appendViews(nil, time.Now(), snap, service, except, &placement.Prompt{})
}

// appendViews appends the views, for the prompt, of the service's endpoints that take
// work. The caller holds f.mu.
func (f *Fleet) appendViews(views []placement.View, now time.Time, snap *confsync.Snapshot, service string, except map[string]bool, p *placement.Prompt) []placement.View {
	for _, id := range f.scope.endpoints(snap, service) {
		e := snap.Endpoints[id]
		if e.Leaving || except[id] {
			continue
		}
		st := f.state(id, e)
		if !st.alive || st.leaving || !f.isOffered(id) {
			continue
		}
		views = append(views, st.model.View(now, p))
	}
	return views
}

// Place chooses an endpoint of the service for the prompt, other than those in except,
// and returns its view. If no endpoint can take the prompt, the choice's index is
// negative and the view is empty.
func (f *Fleet) Place(snap *confsync.Snapshot, service string, except map[string]bool, p placement.Prompt) (placement.Choice, placement.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = f.appendViews(f.views[:0], time.Now(), snap, service, except, &p)
	choice := f.picker.Pick(&p, f.views)
	if choice.Index < 0 {
		return choice, placement.View{}
	}
	return choice, f.views[choice.Index]
}

// SentPrompt records an attempt that was sent to the endpoint at the priority.
func (f *Fleet) SentPrompt(id, attempt string, p placement.Prompt, priority wire.Priority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, configuration.Endpoint{})
	now := time.Now()
	f.markSent(attempt)
	work := st.model.Sent(now, attempt, &p, priority)
	st.ownTotals.add(now, priority, work, p.Need())
	f.notifyPeers(now, st, work)
}

// FirstToken records that the attempt received its first token.
func (f *Fleet) FirstToken(id, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.model(id).FirstToken(now, attempt)
	f.observeFirstToken(now, attempt)
}

// Ended records that the attempt ended, with or without an answer.
func (f *Fleet) Ended(id, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, configuration.Endpoint{})
	now := time.Now()
	st.ownTotals.add(now, wire.PriorityHigh, 0, -st.model.Ended(now, attempt))
}

// Answer has the measurements of a complete answer.
type Answer struct {
	// Blocks are the block hashes of the prompt, as in placement.Prompt; nil when
	// unknown.
	Blocks []uint64
	// Cached is the part of the prompt that was in the endpoint's prefix cache, in
	// tokens.
	Cached int64
	// Tokens is the number of tokens after the first, and Took the time from the
	// first token to the last.
	Tokens int64
	Took   time.Duration
}

// Answered records a complete answer of the endpoint.
func (f *Fleet) Answered(id string, a Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	model := f.model(id)
	model.ObserveAnswer(a.Tokens, a.Took)
	if a.Blocks != nil {
		model.Prefixes.Observe(now, a.Blocks, a.Cached)
		model.Prefixes.RecordComputed(now, a.Blocks)
	}
}

// Failed records that the endpoint failed. It gets no work until a poll succeeds.
func (f *Fleet) Failed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markSilent(id, f.state(id, configuration.Endpoint{}), "attempt failed")
}

// markSilent excludes the endpoint from placement until a poll succeeds, and logs the
// change with the reason. The caller holds f.mu.
func (f *Fleet) markSilent(id string, st *endpointState, reason string) {
	if st.alive {
		f.log.Emit(event.EndpointSilent{Endpoint: id, Reason: reason})
	}
	st.alive = false
}
