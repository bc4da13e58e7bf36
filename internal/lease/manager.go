// Package lease holds this VM's leases: it carries out what core/lease decides
// and lets others act under a lease for a bounded time.
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
	// tickInterval is the time between two looks at a lease.
	tickInterval = 250 * time.Millisecond
	// membersEvery is the time between two reads of the VM list.
	membersEvery = 10 * time.Second
	// rebalanceAfter is how long a VM keeps a lease for which another is the
	// first candidate.
	rebalanceAfter = time.Minute
)

// Store is what leases need of the platform.
type Store interface {
	Try(platform.Class, wire.Txn, time.Duration) (wire.TxnResult, platform.Outcome, error)
	Get(key string) (wire.Row, error)
	VMs() (wire.VMList, error)
}

// Manager has this VM's leases. It is safe for concurrent use.
type Manager struct {
	cfg         lease.Config
	store       Store
	log         *event.Logger
	vm          string
	incarnation int64
	now         clock

	mu       sync.Mutex
	keepers  map[string]*keeper
	members  []string
	draining bool

	stop    chan struct{}
	running sync.WaitGroup
}

// New returns a Manager for this process.
func New(store *platform.Client, log *event.Logger, self peer.Identity) *Manager {
	return newManager(lease.DefaultConfig(), store, log, self.VM, self.Incarnation, systemClock)
}

func newManager(cfg lease.Config, store Store, log *event.Logger, vm string, incarnation int64, now clock) *Manager {
	return &Manager{
		cfg:         cfg,
		store:       store,
		log:         log,
		vm:          vm,
		incarnation: incarnation,
		now:         now,
		keepers:     make(map[string]*keeper),
		stop:        make(chan struct{}),
	}
}

// Start begins to follow the VM list.
func (m *Manager) Start() { m.running.Go(m.followMembers) }

// Stop ends all work; the leases run out by themselves unless they were
// released.
func (m *Manager) Stop() {
	close(m.stop)
	m.running.Wait()
}

// Want sets the leases that this VM asks for. One that is no longer wanted is
// released.
func (m *Manager) Want(names []string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if m.keepers[name] != nil || m.draining {
			continue
		}
		k, err := m.newKeeper(name)
		if err != nil {
			return err
		}
		k.setRank(lease.Rank(name, m.vm, m.members))
		m.keepers[name] = k
		m.running.Go(k.run)
	}
	for name, k := range m.keepers {
		if !wanted[name] {
			delete(m.keepers, name)
			close(k.unwanted)
		}
	}
	return nil
}

// Use lets the caller act under the lease for the time: the lease lasts at least
// that long, and a release waits until done is called.
func (m *Manager) Use(name string, within time.Duration) (fencing int64, done func(), ok bool) {
	m.mu.Lock()
	k := m.keepers[name]
	m.mu.Unlock()
	if k == nil {
		return 0, nil, false
	}
	return k.use(within)
}

// Raise asks for a fencing number above the one given.
func (m *Manager) Raise(name string, fencing int64) {
	m.mu.Lock()
	k := m.keepers[name]
	m.mu.Unlock()
	if k == nil {
		return
	}
	select {
	case k.raise <- fencing:
	default:
	}
}

// Held lists the leases under which this VM may act.
func (m *Manager) Held() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, k := range m.keepers {
		if k.valid(0) {
			names = append(names, name)
		}
	}
	return names
}

// Release gives up all leases: nothing new is begun under them, what runs is
// waited for, and then the rows are released, so that the next holder need not
// wait for the leases to run out. It returns ctx's error if that takes too long.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	keepers := make([]*keeper, 0, len(m.keepers))
	for name, k := range m.keepers {
		keepers = append(keepers, k)
		delete(m.keepers, name)
		close(k.unwanted)
	}
	m.mu.Unlock()
	for _, k := range keepers {
		select {
		case <-k.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// followMembers keeps the list of VMs that may hold leases.
func (m *Manager) followMembers() {
	for {
		if list, err := m.store.VMs(); err == nil {
			m.setMembers(list.VMs)
		}
		select {
		case <-m.stop:
			return
		case <-time.After(membersEvery):
		}
	}
}

func (m *Manager) setMembers(vms []wire.VM) {
	var members []string
	for _, vm := range vms {
		if vm.State == wire.VMLive {
			members = append(members, vm.ID)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.members, members) {
		return
	}
	m.members = members
	for name, k := range m.keepers {
		k.setRank(lease.Rank(name, m.vm, members))
	}
}
