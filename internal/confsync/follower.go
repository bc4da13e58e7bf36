// Package confsync follows the head of the configuration in the platform's table
// service and through reports of peers, and holds the version in force on this
// VM, which never decreases. core/configuration decides when to read the head,
// where to fetch a version from, and whether the VM may accept work.
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
	// tickInterval is the interval between calls of Tracker.Tick, and so the
	// resolution of the tracker's timers.
	tickInterval = 100 * time.Millisecond
	// fanOut is the number of peers that a VM notifies of a new version.
	fanOut = 4
	// notifyTimeout is the timeout of one notification.
	notifyTimeout = time.Second
)

// Peers gives a follower access to the other VMs. Its methods are called without
// the follower's lock held.
type Peers interface {
	// Address returns the address at which this VM accepts calls of peers.
	Address() string
	// Count returns the number of other live VMs.
	Count() int
	// Pick returns the addresses of up to n other live VMs, chosen at random.
	Pick(n int) []string
	// Call calls a method of the VM at the address.
	Call(ctx context.Context, address string, method peer.Method, params, result any) error
}

// Follower holds the configuration version in force on this VM and keeps it up to
// date. It is safe for concurrent use.
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

// New returns a Follower. poll is the minimum interval between its reads of the
// head; the mean interval grows with the number of VMs.
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

// ConnectPeers enables exchange with peers and registers the follower's methods on mux.
// It must be called before Start.
func (f *Follower) ConnectPeers(peers Peers, mux *peer.Mux) {
	f.peers = peers
	peer.Register(mux, MethodNotify, f.onNotify)
	peer.Register(mux, MethodGet, f.onGet)
}

// Current returns the version in force, or nil before the first one is loaded.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// NewestKnown returns the newest version that the head, a peer or a fetch has reported.
func (f *Follower) NewestKnown() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.NewestKnown()
}

// Standing returns whether the VM may accept work, and if not, why.
func (f *Follower) Standing() configuration.Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Standing(time.Now())
}

// HandlePeerVersion handles a report of the newest version known to the VM at the address.
func (f *Follower) HandlePeerVersion(address string, version int64) {
	f.do(func(now time.Time) []configuration.Action {
		return f.tracker.PeerVersion(now, configuration.Source(address), version)
	})
}

// Start starts following the head.
func (f *Follower) Start() { f.wg.Go(f.run) }

// Stop cancels calls to peers and waits until all goroutines of the follower have
// ended.
func (f *Follower) Stop() {
	// Cancelled under the lock, so that carryOut starts no goroutine once Wait has
	// been called.
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Follower) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		peers := f.countPeers()
		f.do(func(now time.Time) []configuration.Action { return f.tracker.Tick(now, peers) })
		f.noteStanding()
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) countPeers() int {
	if f.peers == nil {
		return 0
	}
	return f.peers.Count()
}

// do calls decide under the lock with the current time and carries out the
// tracker's actions.
func (f *Follower) do(decide func(now time.Time) []configuration.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carryOut(decide(time.Now()))
}

// carryOut starts a goroutine for each action, unless the follower was stopped.
// The lock must be held.
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

// noteStanding logs changes of the VM's standing.
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
