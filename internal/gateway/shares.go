package gateway

import (
	"sync"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/fairshare"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// otherOrganisations is the label of the organisations that have no counter of their own.
const otherOrganisations = "other"

// organisationCounters counts by organisation, for at most fairshare.MaxSummary of them.
type organisationCounters struct {
	mu    sync.Mutex
	known map[string]bool
}

// count increments the counter of the organisation.
func (c *organisationCounters) count(m *metrics.Metrics, name, organisation string) {
	c.mu.Lock()
	if c.known == nil {
		c.known = make(map[string]bool)
	}
	if !c.known[organisation] && len(c.known) >= fairshare.MaxSummary {
		organisation = otherOrganisations
	} else {
		c.known[organisation] = true
	}
	c.mu.Unlock()
	m.Counter(metrics.Labelled(name, "organisation", organisation)).Inc(1)
}

// overShare counts a refusal of a request whose organisation is over its share, and returns the
// organisation; empty for other reasons.
func (x *exchange) overShare(r *RefusedError) string {
	if r.Reason != dispatch.ReasonOverShare {
		return ""
	}
	x.gateway.overShare.count(x.gateway.cfg.Metrics, "gateway.refused_over_share", x.organisation)
	return x.organisation
}
