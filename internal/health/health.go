// Package health determines for a VM whether an endpoint gets new work, and how
// much. It combines the endpoints' own reports with the marks of the other VMs, and
// notifies these when this VM is the first to detect that an endpoint is leaving.
package health

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/endpointhealth"
	"cornelsaddle.example/cornelsaddle/core/membership"
)

// Health tracks the health of all endpoints. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	tracker *endpointhealth.Tracker
	notify  func(membership.Mark)
}

// New returns a Health without endpoints. An endpoint that it does not track gets
// its full share of the work.
func New() *Health { return &Health{tracker: endpointhealth.NewTracker()} }

// SetNotify sets the function that sends new marks to the other VMs. Reported and
// Listed call it; they must not be called under a lock that it acquires.
func (h *Health) SetNotify(notify func(membership.Mark)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notify = notify
}

// Reported handles an endpoint's own report: its incarnation and whether it is
// leaving. It sends a new mark to the other VMs.
func (h *Health) Reported(id, incarnation string, leaving bool) {
	h.mu.Lock()
	m, isNew := h.tracker.Reported(time.Now(), id, incarnation, leaving)
	notify := h.notify
	h.mu.Unlock()
	if isNew && notify != nil {
		notify(membership.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
	}
}

// Marked handles a mark that was set by another VM.
func (h *Health) Marked(m membership.Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Marked(time.Now(), endpointhealth.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
}

// Listed handles an endpoint that the platform's list shows as leaving. As the list
// names no incarnation, it applies to the one known now. It sends a new mark to the
// other VMs.
func (h *Health) Listed(id string) {
	h.mu.Lock()
	m, isNew := h.tracker.Listed(time.Now(), id)
	notify := h.notify
	h.mu.Unlock()
	if isNew && notify != nil {
		notify(membership.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
	}
}

// Failed handles an endpoint that did not respond.
func (h *Health) Failed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Failed(time.Now(), id)
}

// Leaving reports whether the endpoint gets no new work for the rest of its
// incarnation.
func (h *Health) Leaving(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Leaving(id)
}

// Share returns the share of its usual work that the endpoint gets, from 0 to 1.
func (h *Health) Share(id string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Share(time.Now(), id)
}

// Retain drops the endpoints for which keep returns false.
func (h *Health) Retain(keep func(id string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Retain(keep)
}
