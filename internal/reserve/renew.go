package reserve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/reservation"
)

// run renews all grants until Stop.
func (h *Holder) run() {
	defer close(h.done)
	tick := time.NewTicker(h.cfg.Renew)
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-tick.C:
			h.renewAll()
		}
	}
}

func (h *Holder) renewAll() {
	h.mu.Lock()
	grants := make([]*Grant, 0, len(h.grants))
	for g := range h.grants {
		grants = append(grants, g)
	}
	h.mu.Unlock()
	for _, g := range grants {
		h.orders.Go(func() { h.renew(g) })
	}
}

// renew renews all shares of a grant. A share that the endpoint does not hold,
// and one that was not renewed within its time limit, is lost.
func (h *Holder) renew(g *Grant) {
	begin := time.Now()
	all := true
	for _, s := range g.claim.Shares {
		result := h.take(context.Background(), g, s, true)
		if result.Outcome == reservation.Refused {
			h.lose(g, s)
			return
		}
		all = all && result.Outcome == reservation.Granted
	}
	h.mu.Lock()
	if all {
		g.renewed = begin
	}
	late := time.Since(g.renewed) > h.cfg.TTL
	h.mu.Unlock()
	if late {
		h.lose(g, g.claim.Shares[0])
	}
}

// lose tells the request once, unless it gave the grant back already.
func (h *Holder) lose(g *Grant, s reservation.Share) {
	h.mu.Lock()
	_, stands := h.grants[g]
	tell := stands && !g.lost
	g.lost = true
	h.mu.Unlock()
	if tell {
		g.claim.Lost(errors.WithStack(&LostError{s.Endpoint}))
	}
}
