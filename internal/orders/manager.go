// Package orders keeps the endpoints of each service at what the configuration
// declares. One VM at a time does so for a service, under a lease; the decisions
// are made by core/orders.
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
	// tickInterval is the time between two looks at a service.
	tickInterval = 250 * time.Millisecond
	// leasePrefix starts the names of the leases on services' endpoints.
	leasePrefix = "orders/"
)

// Endpoints gives orders to endpoints.
type Endpoints interface {
	Describe(address string, timeout time.Duration) (wire.Description, error)
	Order(address string, order wire.Order, timeout time.Duration) error
}

// Leases says under which leases this VM may act.
type Leases interface {
	Want(names []string) error
	Use(name string, within time.Duration) (fencing int64, done func(), ok bool)
	Raise(name string, above int64)
}

// Configuration is the version in force; nil before the first.
type Configuration interface {
	Current() *confsync.Snapshot
}

// Manager reconciles services. It is safe for concurrent use.
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
	// extra are leases that this VM asks for besides those on services.
	extra []string
}

// New returns a Manager over the configuration in force.
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

// Also asks for further leases besides those on services. It is called before
// Start.
func (m *Manager) Also(names ...string) { m.extra = append(m.extra, names...) }

// Start begins to reconcile.
func (m *Manager) Start() { go m.run() }

// Stop ends it and waits for orders in flight.
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
		if snap.Version != version && m.adopt(snap) == nil {
			version = snap.Version
		}
		for _, s := range m.services {
			s.tick()
		}
	}
}

// adopt takes a version of the configuration: one reconciler for each service
// that declares what its endpoints serve.
func (m *Manager) adopt(snap *confsync.Snapshot) error {
	names := append([]string(nil), m.extra...)
	deployed := make(map[string]bool)
	for name, s := range snap.Services {
		if s.Deploy != nil {
			names = append(names, leasePrefix+name)
			deployed[name] = true
		}
	}
	if err := m.leases.Want(names); err != nil {
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
		if err := m.services[name].adopt(snap, len(deployed)); err != nil {
			return err
		}
	}
	return nil
}
