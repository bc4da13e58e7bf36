package reserve

import (
	"context"
	"time"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Sweeper frees reservations without an owner at the endpoints whose coordinator is
// this VM.
type Sweeper struct {
	holder  *Holder
	current func() *confsync.Snapshot
	log     *event.Logger
	stop    chan struct{}
	done    chan struct{}
}

// NewSweeper returns a Sweeper of the endpoints in the configuration snapshot that
// current returns. While current returns nil, sweeps do nothing.
func NewSweeper(h *Holder, current func() *confsync.Snapshot, log *event.Logger) *Sweeper {
	return &Sweeper{holder: h, current: current, log: log, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start starts periodic sweeps.
func (s *Sweeper) Start() { go s.run() }

// Stop stops the sweeps and waits for one in progress.
func (s *Sweeper) Stop() {
	close(s.stop)
	<-s.done
}

func (s *Sweeper) run() {
	defer close(s.done)
	tick := time.NewTicker(s.holder.cfg.Sweep)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.Sweep()
		}
	}
}

// Sweep sweeps all model endpoints whose coordinator is this VM once.
func (s *Sweeper) Sweep() {
	snap := s.current()
	if snap == nil {
		return
	}
	assignment := newCoordinators(s.holder.members.Live())
	for id, e := range snap.Endpoints {
		m, ok := assignment.lookup(id)
		if !ok || m.VM != s.holder.self.VM || snap.Services[e.Service].Kind != configuration.KindModel {
			continue
		}
		s.sweep(id, e.Address)
	}
}

// sweep frees the reservations without an owner at one endpoint. An endpoint that does
// not respond is swept again at the next interval.
func (s *Sweeper) sweep(id, address string) {
	h := s.holder
	held, err := h.coordinator.engines.Reservations(address, h.cfg.Timeout)
	if err != nil || len(held) == 0 {
		return
	}
	owners := s.ownership(held)
	ownership := func(o wire.Owner) reservation.Ownership { return owners[o] }
	for _, r := range reservation.Sweep(held, ownership, s.leadInUse) {
		err := h.coordinator.Free(FreeParams{Address: address, ID: r})
		s.log.Emit(event.ReservationSwept{Endpoint: id, Reservation: r, Freed: err == nil})
	}
}

// ownership determines, by calling the owners, whether each owner in held still has
// grants. Owners that cannot be reached are OwnerUnknown.
func (s *Sweeper) ownership(held []wire.Reservation) map[wire.Owner]reservation.Ownership {
	owners := make(map[wire.Owner]reservation.Ownership, len(held))
	byVM := make(map[peer.Identity][]string)
	for _, r := range held {
		owners[r.Owner] = reservation.OwnerUnknown
		byVM[identity(r.Owner)] = append(byVM[identity(r.Owner)], r.Owner.Request)
	}
	for id, requests := range byVM {
		unknown, ok := s.orphaned(id, requests)
		if !ok {
			continue
		}
		for _, r := range requests {
			owners[wire.Owner{VM: id.VM, Incarnation: id.Incarnation, Request: r}] = reservation.Owned
		}
		for _, r := range unknown {
			owners[wire.Owner{VM: id.VM, Incarnation: id.Incarnation, Request: r}] = reservation.Orphaned
		}
	}
	return owners
}

// orphaned returns those of the requests that have no grants at the VM's incarnation:
// all of them when the incarnation is dead. It returns false when the VM is not a live
// member or its call failed.
func (s *Sweeper) orphaned(id peer.Identity, requests []string) ([]string, bool) {
	h := s.holder
	params := KnownParams{Incarnation: id.Incarnation, Requests: requests}
	if id == h.self {
		return h.unknownRequests(params), true
	}
	if h.members.Life(id) == Dead {
		return requests, true
	}
	for _, m := range h.members.Live() {
		if m.VM != id.VM {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Timeout)
		defer cancel()
		var result KnownResult
		if _, err := h.peers.Call(ctx, m.Address, MethodKnown, params, &result); err == nil {
			return result.Unknown, true
		}
	}
	return nil, false
}

// leadInUse reports whether the lead of the reservation's group is streaming. It
// returns true when the lead does not respond, because it may be.
func (s *Sweeper) leadInUse(r wire.Reservation) bool {
	held, err := s.holder.coordinator.engines.Reservations(r.Lead, s.holder.cfg.Timeout)
	if err != nil {
		return true
	}
	for _, lead := range held {
		if lead.Owner == r.Owner && lead.InUse {
			return true
		}
	}
	return false
}
