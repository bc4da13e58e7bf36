package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// held is one reservation with its end.
type held struct {
	wire.Reservation
	end time.Time
	// released says that its owner gave it up while a stream used it.
	released bool
}

// reservations are the memory held for owners.
type reservations struct {
	byID map[string]*held
}

func (r *reservations) init() { r.byID = make(map[string]*held) }

// use marks the reservation as used by a stream. A reservation that was given
// up, or is in use, can't be used.
func (r *reservations) use(id string) (wire.Reservation, bool) {
	h, ok := r.byID[id]
	if !ok || h.released || h.InUse {
		return wire.Reservation{}, false
	}
	h.InUse = true
	return h.Reservation, true
}

// reserve makes a reservation, or renews the one with the id.
func (s *Server) reserve(ctx *fasthttp.RequestCtx) {
	var r wire.Reservation
	if !httpjson.Read(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(time.Duration(r.TTLMs) * time.Millisecond)
	h, ok := s.reservations.byID[r.ID]
	if ok && !h.released {
		h.end = end
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
	s.reservations.byID[r.ID] = &held{Reservation: r, end: end}
	httpjson.Write(ctx, fasthttp.StatusOK, r)
}

func (s *Server) refuseReservation(ctx *fasthttp.RequestCtx, status int, reason string) {
	httpjson.Write(ctx, status, wire.ReservationRefusal{Error: reason, FreeTokens: s.model.Free()})
}

// unuse notes that the stream that used the reservation ended.
func (s *Server) unuse(id string) {
	h, ok := s.reservations.byID[id]
	if !ok {
		return
	}
	h.InUse = false
	if h.released {
		s.drop(id)
	}
}

// release gives a reservation up: at once, or at the end of the stream that
// uses it.
func (s *Server) release(ctx *fasthttp.RequestCtx) {
	id, _ := ctx.UserValue("id").(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.reservations.byID[id]; h != nil && h.InUse {
		h.released = true
	} else {
		s.drop(id)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) drop(id string) {
	h, ok := s.reservations.byID[id]
	if !ok {
		return
	}
	delete(s.reservations.byID, id)
	s.model.Release(h.Tokens)
}

func (s *Server) expireReservations() {
	now := time.Now()
	for id, h := range s.reservations.byID {
		if now.After(h.end) && !h.InUse {
			s.drop(id)
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
