package reserve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/reservation"
)

// run renews all grants periodically until Stop is called.
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
		h.background.Go(func() { h.renew(g) })
	}
}

// renew renews all shares of a grant. The grant is lost when an endpoint no longer
// holds its share, or when the shares have not all been renewed within the TTL.
func (h *Holder) renew(g *Grant) {
	start := time.Now()
	var unconfirmed *reservation.Share
	for i, s := range g.claim.Shares {
		result := h.takeShare(context.Background(), g, s, true)
		if result.Outcome == reservation.Refused {
			h.reportLost(g, s)
			return
		}
		if result.Outcome != reservation.Granted && unconfirmed == nil {
			unconfirmed = &g.claim.Shares[i]
		}
	}
	if h.expired(g, start, unconfirmed == nil) {
		h.reportLost(g, lostShare(g, unconfirmed))
	}
}

// expired records a renewal that began at start, and reports whether the shares have not
// all been renewed within the TTL. Renewals of a grant may overlap, and an earlier one
// end last.
func (h *Holder) expired(g *Grant, start time.Time, allGranted bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if allGranted && start.After(g.renewed) {
		g.renewed = start
	}
	return time.Since(g.renewed) > h.cfg.TTL
}

// lostShare returns the share to which the expiry of a grant is attributed: the first one
// that was not confirmed, or the first one if all were confirmed too late.
func lostShare(g *Grant, unconfirmed *reservation.Share) reservation.Share {
	if unconfirmed != nil {
		return *unconfirmed
	}
	return g.claim.Shares[0]
}

// reportLost calls Claim.Lost unless it was called before or the grant was released.
func (h *Holder) reportLost(g *Grant, s reservation.Share) {
	h.mu.Lock()
	_, held := h.grants[g]
	report := held && !g.lost
	g.lost = true
	h.mu.Unlock()
	if report {
		g.claim.Lost(errors.WithStack(&LostError{s.Endpoint}))
	}
}
