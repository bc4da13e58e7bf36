package gateway

import (
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/fairshare"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// TestRefusalOverShareIsCounted checks that operators can tell refusals for an organisation's share
// from others.
func TestRefusalOverShareIsCounted(t *testing.T) {
	w := newHarness(t)
	w.refuse = &dispatch.Refusal{Reason: dispatch.ReasonOverShare, RetryAfter: 700 * time.Millisecond, Received: 0.5, Share: 0.1}
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, 503, a.status)
	require.Equal(t, "700ms", a.header.Get("Retry-After"))
	counted := 0
	w.gateway.cfg.Metrics.Registry.Each(func(name string, c any) {
		if counter, ok := c.(gometrics.Counter); ok && name[:min(len(name), 26)] == "gateway.refused_over_share" {
			counted += int(counter.Count())
		}
	})
	require.Equal(t, 1, counted)
}

// TestCountersByOrganisationAreBounded guards against a metric for each of any number of
// organisations.
func TestCountersByOrganisationAreBounded(t *testing.T) {
	var c organisationCounters
	m := metrics.New()
	for i := range 1000 {
		c.count(m, "n", fmt.Sprint(i))
	}
	count := func(o string) int64 { return m.Counter(metrics.Labelled("n", "organisation", o)).Count() }
	require.Equal(t, int64(1), count("0"))
	require.Equal(t, int64(1000-fairshare.MaxSummary), count(otherOrganisations))
}
