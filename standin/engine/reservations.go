package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// heldReservation is a reservation with its expiry time.
type heldReservation struct {
	wire.Reservation
	expiry time.Time
	// releasePending is set when the reservation was released while a stream used
	// it; it is freed when that stream ends.
	releasePending bool
}

// reservations holds the memory reservations by ID.
type reservations struct {
	byID map[string]*heldReservation
}

func (r *reservations) init() { r.byID = make(map[string]*heldReservation) }

// acquire marks the reservation as used by a stream. It returns false if the
// reservation does not exist, was released or is already in use.
func (r *reservations) acquire(id string) (wire.Reservation, bool) {
	h, ok := r.byID[id]
	if !ok || h.releasePending || h.InUse {
		return wire.Reservation{}, false
	}
	h.InUse = true
	return h.Reservation, true
}

// reserve creates a reservation, or extends the expiry of the one with the same
// ID. It answers 404 if that one was released or if a renewal names an unknown
// ID, and 409 if the ID is empty or there is not enough memory.
func (s *Server) reserve(ctx *fasthttp.RequestCtx) {
	var r wire.Reservation
	if !httpjson.Read(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	expiry := time.Now().Add(time.Duration(r.TTLMs) * time.Millisecond)
	h, ok := s.reservations.byID[r.ID]
	if ok && !h.releasePending {
		h.expiry = expiry
		httpjson.Write(ctx, fasthttp.StatusOK, h.Reservation)
		return
	}
	if ok || r.Renew {
		s.refuseReservation(ctx, fasthttp.StatusNotFound, "no such reservation")
		return
	}
	if r.ID == "" || !s.model.Reserve(r.Tokens) {
		s.refuseReservation(ctx, fasthttp.StatusConflict, "not enough memory")
		return
	}
	r.InUse = false
	s.reservations.byID[r.ID] = &heldReservation{Reservation: r, expiry: expiry}
	httpjson.Write(ctx, fasthttp.StatusOK, r)
}

func (s *Server) refuseReservation(ctx *fasthttp.RequestCtx, status int, reason string) {
	httpjson.Write(ctx, status, wire.ReservationRefusal{Error: reason, FreeTokens: s.model.Free()})
}

// endReservationUse marks the reservation as not in use and frees it if its
// release is pending.
func (s *Server) endReservationUse(id string) {
	h, ok := s.reservations.byID[id]
	if !ok {
		return
	}
	h.InUse = false
	if h.releasePending {
		s.freeReservation(id)
	}
}

// release frees a reservation: immediately, or at the end of the stream that uses it.
func (s *Server) release(ctx *fasthttp.RequestCtx) {
	id, _ := ctx.UserValue("id").(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.reservations.byID[id]; h != nil && h.InUse {
		h.releasePending = true
	} else {
		s.freeReservation(id)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// freeReservation deletes the reservation and frees its memory.
func (s *Server) freeReservation(id string) {
	h, ok := s.reservations.byID[id]
	if !ok {
		return
	}
	delete(s.reservations.byID, id)
	s.model.Release(h.Tokens)
}

// expireReservations frees the expired reservations that no stream uses.
func (s *Server) expireReservations() {
	now := time.Now()
	for id, h := range s.reservations.byID {
		if now.After(h.expiry) && !h.InUse {
			s.freeReservation(id)
		}
	}
}

func (s *Server) listReservations(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	list := wire.ReservationList{Reservations: []wire.Reservation{}}
	for _, h := range s.reservations.byID {
		list.Reservations = append(list.Reservations, h.Reservation)
	}
	s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, list)
}
