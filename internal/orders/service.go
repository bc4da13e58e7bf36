package orders

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/orders"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// service drives the reconciler of one service.
type service struct {
	manager *Manager
	name    string

	mu         sync.Mutex
	reconciler *orders.Reconciler
	addresses  map[string]string
	// fencing is the number of the lease as last seen; zero without it.
	fencing int64
}

func (m *Manager) newService(name string) *service {
	return &service{manager: m, name: name, reconciler: orders.New(m.cfg)}
}

// adopt takes the service's endpoints and policy from the configuration. The
// weight store's rate is divided among the services that load from it.
func (s *service) adopt(snap *confsync.Snapshot, deployed int) error {
	declared := snap.Services[s.name]
	want := wire.Order{
		Model:    declared.Model,
		Version:  declared.Deploy.Version,
		Adapters: declared.Deploy.Adapters,
		Role:     declared.Deploy.Role,
	}
	if want.Model == "" {
		want.Model = s.name
	}
	var targets []orders.Target
	addresses := make(map[string]string)
	for id, e := range snap.Endpoints {
		if e.Service != s.name || e.Leaving {
			continue
		}
		targets = append(targets, orders.Target{ID: id, Want: want, ChecksFencing: e.ChecksFencing})
		addresses[id] = e.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	return s.reconciler.SetTargets(targets, orders.Policy{
		MaxUnavailable: declared.Deploy.MaxUnavailable,
		LoadsPerSecond: snap.Limits.WeightLoadsPerSecond / float64(deployed),
	})
}

// tick follows the lease and carries out what is due.
func (s *service) tick() {
	fencing, done, ok := s.manager.leases.Use(leasePrefix+s.name, 0)
	if ok {
		done()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.reconciler.End()
		s.fencing = 0
		return
	}
	if fencing != s.fencing {
		if err := s.reconciler.Begin(time.Now(), fencing); err != nil {
			return
		}
		s.fencing = fencing
	}
	actions, err := s.reconciler.Tick(time.Now())
	s.start(actions, err)
}

// start carries out the actions in the background. The caller holds the lock.
func (s *service) start(actions []orders.Action, err error) {
	if err != nil {
		s.manager.log.Emit(event.OrderFault{Service: s.name, Reason: err.Error()})
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case orders.Describe:
			address := s.addresses[a.Endpoint]
			s.manager.running.Go(func() { s.describe(a, address) })
		case orders.Order:
			address := s.addresses[a.Endpoint]
			s.manager.running.Go(func() { s.order(a, address) })
		case orders.Raise:
			s.manager.leases.Raise(leasePrefix+s.name, a.Above)
		}
	}
}

// feed hands the reconciler an answer.
func (s *service) feed(ev orders.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions, err := s.reconciler.Handle(time.Now(), ev)
	s.start(actions, err)
}

func (s *service) describe(a orders.Describe, address string) {
	d, err := s.manager.endpoints.Describe(address, s.manager.cfg.DescribeTimeout)
	if err != nil {
		s.feed(orders.Unreachable(a))
		return
	}
	s.feed(orders.Described{ActionID: a.ActionID, Description: d})
}

// order gives the order, if the lease under which it was decided still lasts as
// long as the order may take.
func (s *service) order(a orders.Order, address string) {
	timeout := s.manager.cfg.OrderTimeout
	fencing, done, ok := s.manager.leases.Use(leasePrefix+s.name, timeout)
	if !ok {
		s.feed(orders.Ordered{ActionID: a.ActionID, Outcome: orders.OutcomeRefused})
		return
	}
	defer done()
	if fencing != a.Fencing {
		s.feed(orders.Ordered{ActionID: a.ActionID, Outcome: orders.OutcomeRefused})
		return
	}
	err := s.manager.endpoints.Order(address, a.Order, timeout)
	if err == nil {
		s.manager.log.Emit(event.OrderSent{Endpoint: a.Endpoint, Model: a.Order.Model, Version: a.Order.Version, Fencing: fencing})
	} else {
		s.manager.log.Emit(event.OrderFailed{Endpoint: a.Endpoint, Fencing: fencing, Reason: err.Error()})
	}
	s.feed(orders.Ordered{ActionID: a.ActionID, Outcome: outcome(err)})
}

// outcome tells what the error proves.
func outcome(err error) orders.Outcome {
	var stale *endpoint.StaleFencingError
	var refused *endpoint.RefusedError
	var notSent *endpoint.NotSentError
	switch {
	case err == nil:
		return orders.OutcomeTaken
	case errors.As(err, &stale):
		return orders.OutcomeStale
	case errors.As(err, &refused), errors.As(err, &notSent):
		return orders.OutcomeRefused
	}
	return orders.OutcomeLost
}
