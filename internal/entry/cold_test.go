package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

// recordedEndpoints is an endpointSink that keeps the last list.
type recordedEndpoints struct{ list []dispatch.Endpoint }

// SetEndpoints implements endpointSink.
func (r *recordedEndpoints) SetEndpoints(list []dispatch.Endpoint) { r.list = list }

// TestEndpointThatIsColdAgainIsPublished guards against an endpoint that counts as warm although
// its latest row states that it is cold: a row with the content of the last one that the VM got was
// taken for no news, while it tells that the endpoint is cold from now on. The rows between may be
// missing, as a copy is brought up to date with the latest row of each endpoint.
func TestEndpointThatIsColdAgainIsPublished(t *testing.T) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	sink := &recordedEndpoints{}
	r := newRegistry(platform.Documents{}, log, sink, time.Second, func(directory.Incarnation) {})
	t.Cleanup(r.stop)
	const coldFor = 30 * time.Millisecond
	row := func(version int64) provider.Row {
		text := fmt.Sprintf(`{"service":"s","address":"10.0.0.5:80","slots":8,"state":"ready","born":7,"cold_left_ms":%d}`, coldFor.Milliseconds())
		return provider.Row{Key: "i-1", Value: []byte(text), Version: version}
	}
	r.Changed([]provider.Row{row(1)})
	time.Sleep(2 * coldFor)
	again := time.Now()
	r.Changed([]provider.Row{row(2)})
	require.Len(t, sink.list, 1)
	require.False(t, sink.list[0].ColdUntil.Before(again.Add(coldFor)))
}

// TestColdBoundHoldsForAllVMs takes an evacuation back under requests at several VMs, takes the holder
// of the service away just after that, and lets the endpoint of the domain state that it is cold again
// before it is warm. All VMs together keep the platform's bound for a cold endpoint, in each second.
func TestColdBoundHoldsForAllVMs(t *testing.T) {
	const (
		perSecond = 15
		allowed   = 1.5*perSecond + 5
		interval  = 10 * time.Millisecond
	)
	store := newMemoryStore()
	require.NoError(t, store.Put(t.Context(), provider.Configuration, "config", fmt.Appendf(nil, `{"version":1,
		"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":5000,"service":"s","max_attempts":2}],
		"services":[{"name":"s","cold_s":3,"cold_per_s":%d}],"limits":{"max_body_bytes":1000000}}`, perSecond)))
	require.NoError(t, store.Put(t.Context(), provider.Configuration, "evacuate/d1", []byte("{}")))
	cold, other := startLimitedEndpoint(t, ""), startLimitedEndpoint(t, "")
	store.putEndpointIn(t, "i-1", cold.address, "d1")
	store.putEndpointIn(t, "i-2", other.address, "d2")
	holder, others := startVMsOf(t, store, "a", "b", "c")
	sendEach(t, others, interval, time.Second)
	require.Empty(t, cold.arrived())

	require.NoError(t, store.Remove(t.Context(), provider.Configuration, "evacuate/d1"))
	sendEach(t, others, interval, 300*time.Millisecond)
	holder.members.server.Close()
	sendEach(t, others, interval, 1500*time.Millisecond)
	text := fmt.Sprintf(`{"service":"s","address":"%s","zone":"d1","slots":8,"state":"ready","cold_left_ms":3000}`, cold.address)
	require.NoError(t, store.Put(t.Context(), provider.Endpoints, "i-1", []byte(text)))
	sendEach(t, others, interval, 2500*time.Millisecond)
	n := cold.most(time.Time{}, time.Second)
	t.Logf("%d requests in all, %d in one second", len(cold.arrived()), n)
	require.LessOrEqual(t, float64(n), allowed)
	require.Greater(t, len(cold.arrived()), 2*perSecond, "it gets what it bears")
}
