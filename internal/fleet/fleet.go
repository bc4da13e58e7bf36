// Package fleet keeps what this VM knows of the endpoints: their load reports
// and cache events, what this VM and its peers sent since, and what answers
// taught. It places prompts by core/placement.
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

// state is what is known of one endpoint.
type state struct {
	known       *placement.Endpoint
	alive       bool
	leaving     bool
	incarnation string
	// reportedMs is the time stamp of the last report, in milliseconds since the
	// epoch.
	reportedMs int64
	// polled is when the last poll was begun, or a report came with an answer.
	polled time.Time
	// own is what this VM sent there, and peers what each of them did when last
	// heard of.
	own   totals
	peers map[string]DigestEntry
}

// Fleet is safe for concurrent use.
type Fleet struct {
	caller   *endpoint.Caller
	follower *confsync.Follower
	log      *event.Logger
	cfg      placement.Config
	stop     chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	states map[string]*state
	// viewed is the number of endpoints in view.
	viewed int
	picker *placement.Picker
	// controllers decide on admission, by service.
	controllers map[string]*admission.Controller
	// admitted are the prompts under way, by request.
	admitted map[string]admitted
	scope    *scope
	// notify tells the peers of a long prefill at once; nil for no peers.
	notify func(digest []byte)
	// notices and shortNotices bound how often that is.
	notices, shortNotices *rate.Limiter
	// heardAt is the clock of the last digest of each peer, in milliseconds since
	// the epoch.
	heardAt map[string]int64
	views   []placement.View
	health  Health
	rnd     *rand.Rand
}

// Health tells which endpoints get new work.
type Health interface {
	// Reported takes an endpoint's own report. It is not called under a lock.
	Reported(id, incarnation string, leaving bool)
	// Share is the part of its usual work that an endpoint gets, from 0 to 1.
	Share(id string) float64
}

// SetHealth sets who is asked whether an endpoint gets new work; it is called
// before Start.
func (f *Fleet) SetHealth(h Health) { f.health = h }

// admits reports whether the endpoint is offered to a prompt: never while it
// leaves, and for a part of the prompts only after it has come back. The lock is
// held.
func (f *Fleet) admits(id string) bool {
	if f.health == nil {
		return true
	}
	share := f.health.Share(id)
	return share >= 1 || f.rnd.Float64() < share
}

// New returns a Fleet over the endpoints of the configuration in force.
func New(caller *endpoint.Caller, follower *confsync.Follower, log *event.Logger) *Fleet {
	cfg := placement.DefaultConfig()
	return &Fleet{
		caller:   caller,
		follower: follower,
		log:      log,
		cfg:      cfg,
		states:   make(map[string]*state),
		scope:    &scope{},

		controllers: make(map[string]*admission.Controller),
		admitted:    make(map[string]admitted),
		heardAt:     make(map[string]int64),

		notices:      rate.NewLimiter(noticesPerSecond, noticesPerSecond),
		shortNotices: rate.NewLimiter(shortNoticesPerSecond, shortNoticesPerSecond),

		rnd:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		picker: placement.NewPicker(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// Start begins to poll the endpoints.
func (f *Fleet) Start() { go f.run() }

// Stop ends it.
func (f *Fleet) Stop() {
	close(f.stop)
	<-f.done
}

// state returns what is known of the endpoint. The lock is held.
func (f *Fleet) state(id string, e configuration.Endpoint) *state {
	st := f.states[id]
	if st == nil {
		st = &state{alive: true, known: newKnown(f.cfg, id, e)}
		st.own.entry.Endpoint = id
		f.states[id] = st
	}
	return st
}

func newKnown(cfg placement.Config, id string, e configuration.Endpoint) *placement.Endpoint {
	return placement.NewEndpoint(cfg, id, e.MemoryTokens, e.PrefillRate)
}

// known returns the endpoint that an attempt went to. The lock is held.
func (f *Fleet) known(id string) *placement.Endpoint {
	return f.state(id, configuration.Endpoint{}).known
}

// Views returns the endpoints of the service that take work.
func (f *Fleet) Views(snap *confsync.Snapshot, service string, except map[string]bool) []placement.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appendViews(nil, time.Now(), snap, service, except, &placement.Prompt{})
}

// appendViews appends the service's open endpoints as the prompt sees them. The
// lock is held.
func (f *Fleet) appendViews(views []placement.View, now time.Time, snap *confsync.Snapshot, service string, except map[string]bool, p *placement.Prompt) []placement.View {
	for _, id := range f.scope.of(snap, service) {
		e := snap.Endpoints[id]
		if e.Leaving || except[id] {
			continue
		}
		st := f.state(id, e)
		if !st.alive || st.leaving || !f.admits(id) {
			continue
		}
		views = append(views, st.known.View(now, p))
	}
	return views
}

// Place chooses an endpoint of the service for the prompt, other than those in
// except. The view is the chosen endpoint's; it means nothing where the
// choice's index is negative.
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

// SentPrompt notes an attempt that was sent to the endpoint at the priority.
func (f *Fleet) SentPrompt(id, attempt string, p placement.Prompt, priority wire.Priority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, configuration.Endpoint{})
	now := time.Now()
	f.noteSent(attempt)
	work := st.known.Sent(now, attempt, &p, priority)
	st.own.sent(now, priority, work, p.Need())
	f.tell(now, st, work)
}

// FirstToken notes that the attempt had its first token.
func (f *Fleet) FirstToken(id, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.known(id).FirstToken(now, attempt)
	f.judged(now, attempt)
}

// Ended notes that the attempt is over, with or without an answer.
func (f *Fleet) Ended(id, attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.state(id, configuration.Endpoint{})
	now := time.Now()
	st.own.sent(now, wire.PriorityHigh, 0, -st.known.Ended(now, attempt))
}

// Answer is a whole answer's account of itself.
type Answer struct {
	// Blocks are the prompt's.
	Blocks []uint64
	// Cached is the part of the prompt that the endpoint found cached.
	Cached int64
	// Tokens is the number of tokens after the first, and Took their time.
	Tokens int64
	Took   time.Duration
}

// Answered notes a whole answer of the endpoint.
func (f *Fleet) Answered(id string, a Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	known := f.known(id)
	known.ObserveAnswer(a.Tokens, a.Took)
	if a.Blocks != nil {
		known.Prefixes.Observe(now, a.Blocks, a.Cached)
		known.Prefixes.RecordComputed(now, a.Blocks)
	}
}

// Failed notes that the endpoint failed; it gets no work until it reports.
func (f *Fleet) Failed(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent(id, f.state(id, configuration.Endpoint{}), "attempt failed")
}

// silent takes the endpoint out of placement until it reports. The lock is held.
func (f *Fleet) silent(id string, st *state, reason string) {
	if st.alive {
		f.log.Emit(event.EndpointSilent{Endpoint: id, Reason: reason})
	}
	st.alive = false
}
