package reserve

import (
	"context"
	"slices"
	"sync"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// RPC methods between the VMs of a region.
const (
	MethodTake peer.Method = "reservation.take"
	MethodFree peer.Method = "reservation.free"
	// MethodKnown returns the requests that have no grants at the called VM.
	MethodKnown peer.Method = "reservation.known"
)

// TakeParams are the parameters of MethodTake, which makes or renews a reservation
// at the endpoint with the address.
type TakeParams struct {
	Address     string           `json:"address"`
	Reservation wire.Reservation `json:"reservation"`
}

// TakeResult is the result of MethodTake.
type TakeResult struct {
	Outcome reservation.Outcome `json:"outcome"`
	// Free is the endpoint's free KV memory after a refusal, in tokens.
	Free int64 `json:"free,omitempty"`
}

// FreeParams are the parameters of MethodFree, which releases the reservation ID at
// the endpoint with the address.
type FreeParams struct {
	Address string `json:"address"`
	ID      string `json:"id"`
}

// FreeResult is the result of MethodFree once the engine no longer holds the
// reservation.
type FreeResult struct{}

// Coordinator executes reservation requests at the endpoints assigned to this VM, one
// request at a time for each endpoint. It is safe for concurrent use.
type Coordinator struct {
	cfg     Config
	engines Engines

	mu sync.Mutex
	// locks serialises the requests to each endpoint, by address.
	locks map[string]*endpointLock
}

// endpointLock is a mutual exclusion lock: the request that holds it has a value in
// the channel, whose capacity is 1. refs counts the holder and those that wait.
type endpointLock struct {
	slot chan struct{}
	refs int
}

// NewCoordinator returns a Coordinator and registers MethodTake and MethodFree with
// the mux.
func NewCoordinator(cfg Config, engines Engines, mux *peer.Mux) *Coordinator {
	c := &Coordinator{cfg: cfg, engines: engines, locks: make(map[string]*endpointLock)}
	peer.Register(mux, MethodTake, func(_ context.Context, _ peer.Identity, p TakeParams) (TakeResult, error) {
		return c.Take(p), nil
	})
	peer.Register(mux, MethodFree, func(_ context.Context, _ peer.Identity, p FreeParams) (FreeResult, error) {
		return FreeResult{}, c.Free(p)
	})
	return c
}

// Take makes or renews a reservation. The outcome is Unknown when the engine may or
// may not hold the reservation.
func (c *Coordinator) Take(p TakeParams) TakeResult {
	defer c.lock(p.Address)()
	err := c.engines.Reserve(p.Address, p.Reservation, c.cfg.Timeout)
	var full *endpoint.InsufficientMemoryError
	var notHeld *endpoint.ReservationNotFoundError
	switch {
	case err == nil:
		return TakeResult{Outcome: reservation.Granted}
	case errors.As(err, &full):
		return TakeResult{Outcome: reservation.Refused, Free: full.Free}
	case errors.As(err, &notHeld) || provesNotHeld(err, p.Reservation.Renew):
		return TakeResult{Outcome: reservation.Refused}
	}
	return TakeResult{Outcome: reservation.Unknown}
}

// provesNotHeld reports whether a failed request proves that the engine does not hold
// the reservation. A request for a new reservation that was not sent proves it. For a
// renewal the connection must have been refused: an engine that no longer listens has
// lost its reservations.
func provesNotHeld(err error, renew bool) bool {
	var unsent *endpoint.NotSentError
	if !errors.As(err, &unsent) {
		return false
	}
	return !renew || errors.Is(unsent.Cause, syscall.ECONNREFUSED)
}

// Free releases a reservation.
func (c *Coordinator) Free(p FreeParams) error {
	defer c.lock(p.Address)()
	return c.engines.Release(p.Address, p.ID, c.cfg.Timeout)
}

// lock acquires the lock of the endpoint with the address and returns the function
// that releases it.
func (c *Coordinator) lock(address string) func() {
	c.mu.Lock()
	l := c.locks[address]
	if l == nil {
		l = &endpointLock{slot: make(chan struct{}, 1)}
		c.locks[address] = l
	}
	l.refs++
	c.mu.Unlock()
	l.slot <- struct{}{}
	return func() {
		<-l.slot
		c.mu.Lock()
		defer c.mu.Unlock()
		if l.refs--; l.refs == 0 {
			delete(c.locks, address)
		}
	}
}

// coordinators assigns endpoints to live VMs by rendezvous hashing.
type coordinators struct {
	byVM       map[string]Member
	rendezvous *rendezvous.Rendezvous
}

func newCoordinators(live []Member) *coordinators {
	c := &coordinators{byVM: make(map[string]Member, len(live))}
	for _, m := range live {
		c.byVM[m.VM] = m
	}
	c.rebuild()
	return c
}

func (c *coordinators) rebuild() {
	names := make([]string, 0, len(c.byVM))
	for name := range c.byVM {
		names = append(names, name)
	}
	slices.Sort(names)
	c.rendezvous = rendezvous.New(names, xxhash.Sum64String)
}

// lookup returns the VM that is the endpoint's coordinator; false when there are no
// VMs.
func (c *coordinators) lookup(endpointID string) (Member, bool) {
	if len(c.byVM) == 0 {
		return Member{}, false
	}
	m, ok := c.byVM[c.rendezvous.Lookup(endpointID)]
	return m, ok
}

// remove removes a VM that did not respond. It rebuilds the rendezvous hash, because
// the library's Remove method indexes past the end of its node list.
func (c *coordinators) remove(vm string) {
	delete(c.byVM, vm)
	c.rebuild()
}
