package metrics

import (
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// TestTrafficIsWrittenByLabels counts messages of two causes, and writes them as two
// families of one type line each.
func TestTrafficIsWrittenByLabels(t *testing.T) {
	m := New()
	traffic := NewTraffic(m.Registry)
	traffic.Add("member.probe", Sent, SameDomain, 100)
	traffic.Add("member.probe", Sent, SameDomain, 20)
	NewTraffic(m.Registry).Add("member.probe", Sent, SameDomain, 3)
	traffic.Add(CauseRequest, Received, OtherDomain, 7)
	text := prometheusText(t, m)
	require.Contains(t, text, `# TYPE cornelsaddle_traffic_bytes counter
cornelsaddle_traffic_bytes{cause="member.probe",direction="sent",domain="same"} 123
cornelsaddle_traffic_bytes{cause="request",direction="received",domain="other"} 7
# TYPE cornelsaddle_traffic_messages counter
cornelsaddle_traffic_messages{cause="member.probe",direction="sent",domain="same"} 3
cornelsaddle_traffic_messages{cause="request",direction="received",domain="other"} 1
`)
}

// TestCompareDomains checks that a domain that is not known is neither this VM's nor
// another one.
func TestCompareDomains(t *testing.T) {
	require.Equal(t, SameDomain, CompareDomains("d1", "d1"))
	require.Equal(t, OtherDomain, CompareDomains("d1", "d2"))
	require.Equal(t, UnknownDomain, CompareDomains("", ""))
	require.Equal(t, UnknownDomain, CompareDomains("d1", ""))
}

// TestChangesReportsWhatHasGrown reads counters twice: only what has grown since is
// reported.
func TestChangesReportsWhatHasGrown(t *testing.T) {
	registry := gometrics.NewRegistry()
	a, b := gometrics.GetOrRegisterCounter("a", registry), gometrics.GetOrRegisterCounter("b", registry)
	gometrics.GetOrRegisterGauge("gauge", registry).Update(9)
	a.Inc(2)
	changes := NewChanges(registry)
	require.Equal(t, map[string]int64{"a": 2}, changes.Read())
	a.Inc(1)
	b.Inc(5)
	require.Equal(t, map[string]int64{"a": 1, "b": 5}, changes.Read())
	require.Empty(t, changes.Read())
}

// TestProcessGauges checks that a process has used processor time and has goroutines.
func TestProcessGauges(t *testing.T) {
	m := New()
	require.NoError(t, m.RegisterProcess())
	for _, name := range []string{"process.heap_bytes", "process.goroutines"} {
		gauge, ok := m.Registry.Get(name).(gometrics.Gauge)
		require.True(t, ok, name)
		require.Positive(t, gauge.Value(), name)
	}
	require.Positive(t, ProcessorTime())
}
