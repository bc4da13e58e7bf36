// Package lease acquires, renews and releases this VM's leases, and lets other
// components act under a lease for a bounded time. The state machine of a lease
// is in core/lease.
package lease

import (
	"context"
	"slices"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// tickInterval is the interval between two Tick events of a lease.
	tickInterval = 250 * time.Millisecond
	// membersInterval is the interval at which the list of members is read.
	membersInterval = 2 * time.Second
	// rebalanceDelay is how long a VM keeps a lease for which another VM is the
	// first candidate.
	rebalanceDelay = time.Minute
)

// Store is the part of the platform client that leases use.
type Store interface {
	Try(platform.Class, wire.Txn, time.Duration) (wire.TxnResult, platform.Outcome, error)
	Get(key string) (wire.Row, error)
}

// Manager manages this VM's leases. It is safe for concurrent use.
type Manager struct {
	cfg         lease.Config
	store       Store
	log         *event.Logger
	vm          string
	incarnation int64
	now         instantClock

	mu       sync.Mutex
	drivers  map[string]*driver
	live     func() []string
	members  []string
	draining bool

	stop    chan struct{}
	running sync.WaitGroup
}

// New returns a Manager for this process.
func New(store *platform.Client, log *event.Logger, self peer.Identity) *Manager {
	return newManager(lease.DefaultConfig(), store, log, self.VM, self.Incarnation, systemClock)
}

func newManager(cfg lease.Config, store Store, log *event.Logger, vm string, incarnation int64, now instantClock) *Manager {
	return &Manager{
		cfg:         cfg,
		store:       store,
		log:         log,
		vm:          vm,
		incarnation: incarnation,
		now:         now,
		drivers:     make(map[string]*driver),
		live:        func() []string { return nil },
		stop:        make(chan struct{}),
	}
}

// SetMembers sets the function that returns the IDs of the live entry VMs. It
// must be called before Start. Without it, every VM is a candidate for every
// lease.
func (m *Manager) SetMembers(live func() []string) { m.live = live }

// Start starts polling the list of members.
func (m *Manager) Start() { m.running.Go(m.pollMembers) }

// Stop stops all work and waits until it has ended. Leases that were not
// released expire.
func (m *Manager) Stop() {
	close(m.stop)
	m.running.Wait()
}

// SetWanted sets the names of the leases for which this VM is a candidate.
// Leases that are no longer among them are released.
func (m *Manager) SetWanted(names []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if m.drivers[name] != nil || m.draining {
			continue
		}
		d, err := m.newDriver(name)
		if err != nil {
			return err
		}
		d.setRank(lease.Rank(name, m.vm, m.members))
		m.drivers[name] = d
		m.running.Go(d.run)
	}
	for name, d := range m.drivers {
		if !wanted[name] {
			delete(m.drivers, name)
			close(d.releaseRequested)
		}
	}
	return nil
}

// Use lets the caller act under the lease for the time within. If ok is true,
// the lease is valid for at least that long and is not released before done is
// called.
func (m *Manager) Use(name string, within time.Duration) (fencing int64, done func(), ok bool) {
	m.mu.Lock()
	d := m.drivers[name]
	m.mu.Unlock()
	if d == nil {
		return 0, nil, false
	}
	return d.use(within)
}

// Raise requests that this VM acquire the lease again with a fencing number
// above the one given. It does nothing while an earlier request is pending.
func (m *Manager) Raise(name string, fencing int64) {
	m.mu.Lock()
	d := m.drivers[name]
	m.mu.Unlock()
	if d == nil {
		return
	}
	select {
	case d.raise <- fencing:
	default:
	}
}

// Held returns the names of the leases under which this VM may act.
func (m *Manager) Held() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, d := range m.drivers {
		if d.valid(0) {
			names = append(names, name)
		}
	}
	return names
}

// Release releases all leases. New uses fail; once the current ones are done,
// the rows are released, so that the next holder does not have to wait until the
// leases expire. It returns ctx's error if ctx ends first.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	drivers := make([]*driver, 0, len(m.drivers))
	for name, d := range m.drivers {
		drivers = append(drivers, d)
		delete(m.drivers, name)
		close(d.releaseRequested)
	}
	m.mu.Unlock()
	for _, d := range drivers {
		select {
		case <-d.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pollMembers periodically updates the list of live entry VMs.
func (m *Manager) pollMembers() {
	for {
		m.setMembers(m.live())
		select {
		case <-m.stop:
			return
		case <-time.After(membersInterval):
		}
	}
}

func (m *Manager) setMembers(members []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.members, members) {
		return
	}
	m.members = members
	for name, d := range m.drivers {
		d.setRank(lease.Rank(name, m.vm, members))
	}
}
