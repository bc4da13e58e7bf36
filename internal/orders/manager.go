// Package orders reconciles the endpoints of each service with the
// configuration. For each service, one VM at a time does so, under a lease. The
// decisions are made in core/orders.
package orders

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/orders"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/lease"
)

const (
	// tickInterval is the interval at which each service is checked for due
	// actions.
	tickInterval = 250 * time.Millisecond
	// leasePrefix is the prefix of the names of the leases on services.
	leasePrefix = "orders/"
)

// Endpoints reads the state of endpoints and sends them orders.
type Endpoints interface {
	Describe(address string, timeout time.Duration) (wire.Description, error)
	SendOrder(address string, order wire.Order, timeout time.Duration) error
}

// Leases acquires leases for this VM and reports which ones it holds.
type Leases interface {
	SetWanted(names []string) error
	Use(name string, within time.Duration) (fencing int64, done func(), ok bool)
	Raise(name string, above int64)
}

// Configuration returns the configuration in force, or nil before the first one
// has been received.
type Configuration interface {
	Current() *confsync.Snapshot
}

// Manager reconciles the endpoints of all services. It is safe for concurrent
// use.
type Manager struct {
	cfg       orders.Config
	conf      Configuration
	leases    Leases
	endpoints Endpoints
	log       *event.Logger
	services  map[string]*service
	stop      chan struct{}
	done      chan struct{}
	running   sync.WaitGroup
	// extraLeases are the names of the leases for which this VM is a candidate in
	// addition to those on services.
	extraLeases []string
}

// New returns a Manager that follows the configuration in force.
func New(follower *confsync.Follower, leases *lease.Manager, caller *endpoint.Caller, log *event.Logger) *Manager {
	return newManager(orders.DefaultConfig(), follower, leases, caller, log)
}

func newManager(cfg orders.Config, conf Configuration, leases Leases, endpoints Endpoints, log *event.Logger) *Manager {
	return &Manager{
		cfg:       cfg,
		conf:      conf,
		leases:    leases,
		endpoints: endpoints,
		log:       log,
		services:  make(map[string]*service),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// AddLeases adds leases for which this VM is a candidate in addition to those on
// services. It must be called before Start.
func (m *Manager) AddLeases(names ...string) { m.extraLeases = append(m.extraLeases, names...) }

// Start starts reconciling in the background.
func (m *Manager) Start() { go m.run() }

// Stop stops reconciling and waits for reads and orders in flight.
func (m *Manager) Stop() {
	close(m.stop)
	<-m.done
	m.running.Wait()
}

func (m *Manager) run() {
	defer close(m.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	version := int64(-1)
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
		snap := m.conf.Current()
		if snap == nil {
			continue
		}
		if snap.Version != version && m.applySnapshot(snap) == nil {
			version = snap.Version
		}
		for _, s := range m.services {
			s.tick()
		}
	}
}

// applySnapshot applies a version of the configuration. Each service with a
// deploy section gets a reconciler.
func (m *Manager) applySnapshot(snap *confsync.Snapshot) error {
	names := append([]string(nil), m.extraLeases...)
	deployed := make(map[string]bool)
	for name, s := range snap.Services {
		if s.Deploy != nil {
			names = append(names, leasePrefix+name)
			deployed[name] = true
		}
	}
	if err := m.leases.SetWanted(names); err != nil {
		return err
	}
	for name := range m.services {
		if !deployed[name] {
			delete(m.services, name)
		}
	}
	for name := range deployed {
		if m.services[name] == nil {
			m.services[name] = m.newService(name)
		}
		if err := m.services[name].applySnapshot(snap, len(deployed)); err != nil {
			return err
		}
	}
	return nil
}
