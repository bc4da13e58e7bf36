package peer

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	traffic "cornelsaddle.example/cornelsaddle/internal/metrics"
)

// counted returns the number of messages of a cause in a registry.
func counted(r metrics.Registry, cause traffic.Cause, direction traffic.Direction, domain traffic.Domain) int64 {
	name := traffic.Labelled("traffic.messages", "cause", string(cause), "direction", string(direction), "domain", string(domain))
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// TestMessagesAreCountedByMethod makes calls between two failure domains: requests and
// responses count for the method of the call at both ends, and a method that the other
// end does not have for no method.
func TestMessagesAreCountedByMethod(t *testing.T) {
	at, from := metrics.NewRegistry(), metrics.NewRegistry()
	domains := map[string]string{"client": "d1", "server": "d2"}
	domainOf := func(vm string) string { return domains[vm] }
	s, err := Listen("127.0.0.1:0", Config{Self: Identity{"server", 7}, Keys: []string{oldKey}, FailureDomain: "d2", DomainOf: domainOf}, echoMux(), newTestLogger(t), at)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c, err := NewClient(Config{Self: Identity{"client", 3}, Keys: []string{oldKey}, FailureDomain: "d1", DomainOf: domainOf}, NewMux(), newTestLogger(t), from)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	for range 3 {
		_, _, err = call(t, c, s.Addr(), "echo", "x")
		require.NoError(t, err)
	}
	_, _, err = call(t, c, s.Addr(), "fail", "x")
	require.Error(t, err)
	_, _, err = call(t, c, s.Addr(), "none", "x")
	require.Error(t, err)
	assertCounts := func(t require.TestingT) {
		for cause, n := range map[traffic.Cause]int64{"echo": 3, "fail": 1} {
			for _, r := range []metrics.Registry{at, from} {
				require.Equal(t, n, counted(r, cause, traffic.Sent, traffic.OtherDomain), cause)
				require.Equal(t, n, counted(r, cause, traffic.Received, traffic.OtherDomain), cause)
			}
		}
		require.EqualValues(t, 1, counted(at, causeUnknown, traffic.Received, traffic.OtherDomain))
		require.EqualValues(t, 1, counted(at, causeUnknown, traffic.Sent, traffic.OtherDomain))
		require.Zero(t, counted(at, "none", traffic.Received, traffic.OtherDomain))
		total := metrics.GetOrRegisterCounter("peer.bytes_sent", at).Count()
		sum := int64(0)
		for _, cause := range []traffic.Cause{"echo", "fail", causeUnknown} {
			name := traffic.Labelled("traffic.bytes", "cause", string(cause), "direction", "sent", "domain", "other")
			sum += metrics.GetOrRegisterCounter(name, at).Count()
		}
		require.Equal(t, total, sum)
	}
	// The server counts a response after it has written it, when the client may have it.
	require.EventuallyWithT(t, func(t *assert.CollectT) { assertCounts(t) }, 10*time.Second, time.Millisecond)
	c.Close()
	s.Close()
	assertCounts(t)
}

// TestDomainIsKnownLater checks that the failure domain of the other end counts from when
// it is known.
func TestDomainIsKnownLater(t *testing.T) {
	registry := metrics.NewRegistry()
	known := ""
	s := newShared(Config{FailureDomain: "d1", DomainOf: func(string) string { return known }}, NewMux(), newTestLogger(t), registry)
	m := s.newMeter("server")
	m.sending = "probe"
	m.written(5)
	known = "d1"
	m.written(5)
	require.EqualValues(t, 1, counted(registry, "probe", traffic.Sent, traffic.UnknownDomain))
	require.EqualValues(t, 1, counted(registry, "probe", traffic.Sent, traffic.SameDomain))
}
