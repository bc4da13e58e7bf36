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

// Sweeper frees what has no owner at the endpoints whose accountant this VM is.
type Sweeper struct {
	holder  *Holder
	current func() *confsync.Snapshot
	log     *event.Logger
	stop    chan struct{}
	done    chan struct{}
}

// NewSweeper returns a Sweeper over the endpoints of the configuration that
// current returns; nil for none.
func NewSweeper(h *Holder, current func() *confsync.Snapshot, log *event.Logger) *Sweeper {
	return &Sweeper{holder: h, current: current, log: log, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start begins to sweep.
func (s *Sweeper) Start() { go s.run() }

// Stop ends it.
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

// Sweep sweeps all endpoints of this VM once.
func (s *Sweeper) Sweep() {
	snap := s.current()
	if snap == nil {
		return
	}
	all := newAccountants(s.holder.members.Live())
	for id, e := range snap.Endpoints {
		m, ok := all.of(id)
		if !ok || m.VM != s.holder.self.VM || snap.Services[e.Service].Kind != configuration.KindModel {
			continue
		}
		s.sweep(id, e.Address)
	}
}

// sweep frees what has no owner at one endpoint. An endpoint that does not
// answer is left to the next sweep.
func (s *Sweeper) sweep(id, address string) {
	h := s.holder
	held, err := h.book.engines.Reservations(address, h.cfg.Timeout)
	if err != nil || len(held) == 0 {
		return
	}
	owners := s.owners(held)
	ownership := func(o wire.Owner) reservation.Ownership { return owners[o] }
	for _, r := range reservation.Sweep(held, ownership, s.leadInUse) {
		err := h.book.Free(FreeParams{Address: address, ID: r})
		s.log.Emit(event.ReservationSwept{Endpoint: id, Reservation: r, Freed: err == nil})
	}
}

// owners asks the owners of all that is held whether they know of it.
func (s *Sweeper) owners(held []wire.Reservation) map[wire.Owner]reservation.Ownership {
	owners := make(map[wire.Owner]reservation.Ownership, len(held))
	byVM := make(map[peer.Identity][]string)
	for _, r := range held {
		owners[r.Owner] = reservation.OwnerUnknown
		byVM[identity(r.Owner)] = append(byVM[identity(r.Owner)], r.Owner.Request)
	}
	for id, requests := range byVM {
		unknown, ok := s.unknown(id, requests)
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

// unknown lists the requests that the VM's incarnation does not know. It reports
// false when that can't be told.
func (s *Sweeper) unknown(id peer.Identity, requests []string) ([]string, bool) {
	h := s.holder
	params := KnownParams{Incarnation: id.Incarnation, Requests: requests}
	if id == h.self {
		return h.unknown(params), true
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

// leadInUse reports whether the group's lead still streams. A lead that does
// not answer may.
func (s *Sweeper) leadInUse(r wire.Reservation) bool {
	held, err := s.holder.book.engines.Reservations(r.Lead, s.holder.cfg.Timeout)
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
