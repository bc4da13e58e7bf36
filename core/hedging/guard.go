package hedging

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/retry"
)

const (
	// hedgeRatio is the largest fraction of a service's requests that is hedged within the window.
	hedgeRatio = 0.1
	// hedgeAllowance is the number of hedges in a window beyond that: one of many VMs gets so few
	// requests in a window (8 in 10 s among 130 VMs) that a tenth of them allows none. The retry budget
	// bounds the sum of all VMs.
	hedgeAllowance = 1
	// overdueWeight is the weight of one response in the share of overdue ones, and maxOverdue
	// the share above which no hedges are sent: 17 consecutive overdue responses reach it. With one
	// endpoint of six slow, the share stays below it, and so it does where an endpoint's requests
	// at this VM are lost at once.
	overdueWeight = 1.0 / 32
	maxOverdue    = 0.4
)

// Reason is why a request is not hedged.
type Reason string

// Reasons of Guard.
const (
	// ReasonSlow means that a large part of the service's responses is overdue.
	ReasonSlow Reason = "many requests are overdue"
	// ReasonShare means that the service's share of hedges in the window is used up.
	ReasonShare Reason = "hedge limit reached"
)

// Guard bounds the hedges of one service at one VM. It is not safe for concurrent use.
type Guard struct {
	window  *retry.Window
	overdue float64
	// searching is the number of searches for another endpoint under way.
	searching int
}

// NewGuard returns a Guard with the length of the window in which hedges are counted.
func NewGuard(window time.Duration) *Guard {
	return &Guard{window: retry.NewWindow(window, hedgeRatio, hedgeAllowance)}
}

// RecordRequest records a request to the service.
func (g *Guard) RecordRequest(now time.Time) { g.window.RecordRequest(now) }

// RecordOverdue records a response that is overdue.
func (g *Guard) RecordOverdue() { g.overdue += overdueWeight * (1 - g.overdue) }

// RecordInTime records a response that has begun before it was overdue.
func (g *Guard) RecordInTime() { g.overdue -= overdueWeight * g.overdue }

// RefusalReason returns why a request may not be hedged now; empty if it may.
func (g *Guard) RefusalReason(now time.Time) Reason {
	switch {
	case g.overdue > maxOverdue:
		return ReasonSlow
	case !g.window.Allows(now):
		return ReasonShare
	}
	return ""
}

// Begin begins a search for another endpoint, unless it returns why there may be none. Searches under
// way count as hedges, so that those which wait for their placement don't fill the queue of a service.
// A search that has sent its hedge counts twice until it ends, soon after.
func (g *Guard) Begin(now time.Time) Reason {
	if why := g.RefusalReason(now); why != "" {
		return why
	}
	if g.window.Left(now) < float64(g.searching+1) {
		return ReasonShare
	}
	g.searching++
	return ""
}

// End ends a search.
func (g *Guard) End() { g.searching-- }

// Take records a hedge that is about to be sent.
func (g *Guard) Take(now time.Time) { g.window.Take(now) }
