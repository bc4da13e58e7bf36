// Package health is the VM's one place to ask whether an endpoint gets new
// work. It joins the endpoint's own reports with the marks of the other VMs, and
// tells them what this VM sees first.
package health

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/endpointhealth"
	"cornelsaddle.example/cornelsaddle/core/membership"
)

// Health is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	tracker *endpointhealth.Tracker
	tell    func(membership.Mark)
}

// New returns a Health that knows no endpoint.
func New() *Health { return &Health{tracker: endpointhealth.NewTracker()} }

// Tell sets who carries marks to the other VMs; it must not be called under a
// lock that the carrier takes.
func (h *Health) Tell(tell func(membership.Mark)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tell = tell
}

// Reported takes an endpoint's own report.
func (h *Health) Reported(id, incarnation string, leaving bool) {
	h.mu.Lock()
	m, told := h.tracker.Reported(time.Now(), id, incarnation, leaving)
	tell := h.tell
	h.mu.Unlock()
	if told && tell != nil {
		tell(membership.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
	}
}

// Marked takes a mark that another VM told.
func (h *Health) Marked(m membership.Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Marked(time.Now(), endpointhealth.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
}

// Listed takes the platform's word that an endpoint leaves: a hint that holds
// for the incarnation that is known now.
func (h *Health) Listed(id string) {
	h.mu.Lock()
	m, told := h.tracker.Listed(time.Now(), id)
	tell := h.tell
	h.mu.Unlock()
	if told && tell != nil {
		tell(membership.Mark{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
	}
}

// Failed notes that an endpoint did not answer.
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

// Share is the part of its usual work that the endpoint gets, from 0 to 1.
func (h *Health) Share(id string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Share(time.Now(), id)
}

// Keep forgets the endpoints that the function does not want.
func (h *Health) Keep(keep func(id string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Retain(keep)
}
