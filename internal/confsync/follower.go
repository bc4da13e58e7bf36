// Package confsync follows the configuration's head in the platform's table
// service and at the peers, and holds the version in force on this VM, which
// never goes down. core/configuration decides when to read, whom to ask, and
// whether the VM may take work.
package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// tick is the resolution of the follower's time.
	tick = 100 * time.Millisecond
	// fanOut is the number of peers that a VM tells of a new version at once.
	fanOut = 4
	// newsTimeout bounds one message of news.
	newsTimeout = time.Second
)

// Peers is what a follower needs of the other VMs. It is not called under the
// follower's lock.
type Peers interface {
	// Address is where this VM answers peers.
	Address() string
	// Count is the number of the other VMs that live.
	Count() int
	// Pick returns the addresses of up to n of them, at random.
	Pick(n int) []string
	// Call calls a method of the VM at the address.
	Call(ctx context.Context, address string, method peer.Method, params, result any) error
}

// Follower keeps the version in force. It is safe for concurrent use.
type Follower struct {
	client *platform.Client
	log    *event.Logger
	cfg    configuration.TrackerConfig
	peers  Peers

	current atomic.Pointer[Snapshot]
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	tracker  *configuration.Tracker
	held     held
	standing configuration.Standing
	failing  bool
}

// New returns a Follower that reads the head every poll at most; the more VMs
// there are, the seldomer each one reads.
func New(client *platform.Client, log *event.Logger, poll time.Duration) *Follower {
	cfg := configuration.DefaultTrackerConfig()
	cfg.MinPoll = poll
	ctx, cancel := context.WithCancel(context.Background())
	return &Follower{
		client:   client,
		log:      log,
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		tracker:  configuration.NewTracker(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		standing: configuration.StandingUnconfirmed,
	}
}

// Join lets the follower talk with peers; it is called before Start.
func (f *Follower) Join(peers Peers, mux *peer.Mux) {
	f.peers = peers
	peer.Register(mux, MethodNews, f.onNews)
	peer.Register(mux, MethodGet, f.onGet)
}

// Current is the version in force; nil before the first one is confirmed.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Known is the newest version that this VM has heard of.
func (f *Follower) Known() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.NewestKnown()
}

// Standing tells whether the VM may take work.
func (f *Follower) Standing() configuration.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Standing(time.Now())
}

// Heard takes the newest version that the VM at the address knows of.
func (f *Follower) Heard(address string, version int64) {
	f.do(func(now time.Time) []configuration.Action {
		return f.tracker.PeerVersion(now, configuration.Source(address), version)
	})
}

// Start begins to follow the head.
func (f *Follower) Start() { f.wg.Go(f.run) }

// Stop ends it.
func (f *Follower) Stop() {
	// Under the lock, so that nothing is started beside the wait.
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Follower) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		peers := f.count()
		f.do(func(now time.Time) []configuration.Action { return f.tracker.Tick(now, peers) })
		f.noteStanding()
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) count() int {
	if f.peers == nil {
		return 0
	}
	return f.peers.Count()
}

// do hands the tracker an event and carries out its actions.
func (f *Follower) do(decide func(now time.Time) []configuration.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOut(decide(time.Now()))
}

// carryOut starts the actions; the lock is held.
func (f *Follower) carryOut(actions []configuration.Action) {
	if f.ctx.Err() != nil {
		return
	}
	for _, a := range actions {
		f.wg.Go(func() {
			switch a := a.(type) {
			case configuration.ReadHead:
				f.readHead()
			case configuration.Fetch:
				f.fetch(a)
			case configuration.Announce:
				f.announce(a.Version)
			}
		})
	}
}

// noteStanding logs when the VM begins or ceases to take work.
func (f *Follower) noteStanding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.tracker.Standing(time.Now())
	if now == f.standing {
		return
	}
	f.standing = now
	f.log.Emit(event.ConfigurationStanding{Standing: string(now), Version: f.tracker.InForce(), Known: f.tracker.NewestKnown()})
}
