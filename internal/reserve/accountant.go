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

// The accountant's methods towards peers.
const (
	MethodTake peer.Method = "reservation.take"
	MethodFree peer.Method = "reservation.free"
	// MethodKnown asks an owner which of its requests it does not know.
	MethodKnown peer.Method = "reservation.known"
)

// TakeParams asks for a reservation at an endpoint, or renews one.
type TakeParams struct {
	Address     string           `json:"address"`
	Reservation wire.Reservation `json:"reservation"`
}

// TakeResult is what became of it.
type TakeResult struct {
	Outcome reservation.Outcome `json:"outcome"`
	// Free is the endpoint's free memory after a refusal, in tokens.
	Free int64 `json:"free,omitempty"`
}

// FreeParams gives a reservation back.
type FreeParams struct {
	Address string `json:"address"`
	ID      string `json:"id"`
}

// FreeResult says that the engine holds it no more.
type FreeResult struct{}

// Accountant carries out the reservations of the endpoints that are this VM's.
// It is safe for concurrent use.
type Accountant struct {
	cfg     Config
	engines Engines

	mu sync.Mutex
	// busy orders the requests of one endpoint, by its address.
	busy map[string]*turn
}

// turn is held by the request that an endpoint is busy with: it fills the
// channel.
type turn struct {
	taken   chan struct{}
	waiting int
}

// NewAccountant returns an Accountant, and registers its methods.
func NewAccountant(cfg Config, engines Engines, mux *peer.Mux) *Accountant {
	a := &Accountant{cfg: cfg, engines: engines, busy: make(map[string]*turn)}
	peer.Register(mux, MethodTake, func(_ context.Context, _ peer.Identity, p TakeParams) (TakeResult, error) {
		return a.Take(p), nil
	})
	peer.Register(mux, MethodFree, func(_ context.Context, _ peer.Identity, p FreeParams) (FreeResult, error) {
		return FreeResult{}, a.Free(p)
	})
	return a
}

// Take sets memory aside, or renews what is.
func (a *Accountant) Take(p TakeParams) TakeResult {
	defer a.lock(p.Address)()
	err := a.engines.Reserve(p.Address, p.Reservation, a.cfg.Timeout)
	var full *endpoint.FullError
	var none *endpoint.NoReservationError
	switch {
	case err == nil:
		return TakeResult{Outcome: reservation.Granted}
	case errors.As(err, &full):
		return TakeResult{Outcome: reservation.Refused, Free: full.Free}
	case errors.As(err, &none) || holdsNothing(err, p.Reservation.Renew):
		return TakeResult{Outcome: reservation.Refused}
	}
	return TakeResult{Outcome: reservation.Unknown}
}

// holdsNothing reports whether a failure to reach the engine proves that it
// does not hold the reservation: a new one was not sent, and an engine where
// nothing listens has lost an old one.
func holdsNothing(err error, renew bool) bool {
	var unsent *endpoint.NotSentError
	if !errors.As(err, &unsent) {
		return false
	}
	return !renew || errors.Is(unsent.Cause, syscall.ECONNREFUSED)
}

// Free gives memory back.
func (a *Accountant) Free(p FreeParams) error {
	defer a.lock(p.Address)()
	return a.engines.Release(p.Address, p.ID, a.cfg.Timeout)
}

// lock waits for the endpoint's turn and returns what ends it.
func (a *Accountant) lock(address string) func() {
	a.mu.Lock()
	t := a.busy[address]
	if t == nil {
		t = &turn{taken: make(chan struct{}, 1)}
		a.busy[address] = t
	}
	t.waiting++
	a.mu.Unlock()
	t.taken <- struct{}{}
	return func() {
		<-t.taken
		a.mu.Lock()
		defer a.mu.Unlock()
		if t.waiting--; t.waiting == 0 {
			delete(a.busy, address)
		}
	}
}

// accountants finds the accountants of endpoints among the live VMs.
type accountants struct {
	byVM map[string]Member
	ring *rendezvous.Rendezvous
}

func newAccountants(live []Member) *accountants {
	a := &accountants{byVM: make(map[string]Member, len(live))}
	for _, m := range live {
		a.byVM[m.VM] = m
	}
	a.hash()
	return a
}

func (a *accountants) hash() {
	names := make([]string, 0, len(a.byVM))
	for name := range a.byVM {
		names = append(names, name)
	}
	slices.Sort(names)
	a.ring = rendezvous.New(names, xxhash.Sum64String)
}

// of is the endpoint's accountant; false when no VM is left.
func (a *accountants) of(endpointID string) (Member, bool) {
	if len(a.byVM) == 0 {
		return Member{}, false
	}
	m, ok := a.byVM[a.ring.Lookup(endpointID)]
	return m, ok
}

// without forgets a VM that did not answer. The library's own Remove indexes
// past its nodes, so the hashes are made anew.
func (a *accountants) without(vm string) {
	delete(a.byVM, vm)
	a.hash()
}
