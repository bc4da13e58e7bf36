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

// service performs the actions of one service's reconciler.
type service struct {
	manager *Manager
	name    string

	mu         sync.Mutex
	reconciler *orders.Reconciler
	addresses  map[string]string
	// fencing is the fencing number with which reconciling was begun; zero while
	// this VM does not hold the lease.
	fencing int64
}

func (m *Manager) newService(name string) *service {
	return &service{manager: m, name: name, reconciler: orders.New(m.cfg)}
}

// applySnapshot sets the service's endpoints and policy from the configuration.
// The weight store's load rate is divided equally among the deployed services.
func (s *service) applySnapshot(snap *confsync.Snapshot, deployed int) error {
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

// tick begins or ends reconciling as the lease is acquired or lost, and performs
// the actions that are due.
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
	s.perform(actions, err)
}

// perform performs the actions in the background, or logs err if it is not nil.
// The caller holds the lock.
func (s *service) perform(actions []orders.Action, err error) {
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

// handle passes the result of an action to the reconciler and performs the
// actions that follow.
func (s *service) handle(ev orders.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions, err := s.reconciler.Handle(time.Now(), ev)
	s.perform(actions, err)
}

func (s *service) describe(a orders.Describe, address string) {
	d, err := s.manager.endpoints.Describe(address, s.manager.cfg.DescribeTimeout)
	if err != nil {
		s.handle(orders.Unreachable(a))
		return
	}
	s.handle(orders.Described{ActionID: a.ActionID, Description: d})
}

// order sends the order if the lease has the fencing number with which the order
// was decided and is valid for at least the order's timeout.
func (s *service) order(a orders.Order, address string) {
	timeout := s.manager.cfg.OrderTimeout
	fencing, done, ok := s.manager.leases.Use(leasePrefix+s.name, timeout)
	if !ok {
		s.handle(orders.Ordered{ActionID: a.ActionID, Outcome: orders.OutcomeRefused})
		return
	}
	defer done()
	if fencing != a.Fencing {
		s.handle(orders.Ordered{ActionID: a.ActionID, Outcome: orders.OutcomeRefused})
		return
	}
	err := s.manager.endpoints.SendOrder(address, a.Order, timeout)
	if err == nil {
		s.manager.log.Emit(event.OrderSent{Endpoint: a.Endpoint, Model: a.Order.Model, Version: a.Order.Version, Fencing: fencing})
	} else {
		s.manager.log.Emit(event.OrderFailed{Endpoint: a.Endpoint, Fencing: fencing, Reason: err.Error()})
	}
	s.handle(orders.Ordered{ActionID: a.ActionID, Outcome: outcome(err)})
}

// outcome returns the outcome of an order that ended with err. An error that does
// not prove that the endpoint rejected the order counts as OutcomeLost.
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
