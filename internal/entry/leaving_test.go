package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

// startLeavingEndpoint starts an endpoint that says in each response that it leaves.
func startLeavingEndpoint(t *testing.T) (address string, served *atomic.Int64) {
	t.Helper()
	served = &atomic.Int64{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set("X-Cornelsaddle-Attempt-Id", r.Header.Get("X-Cornelsaddle-Attempt-Id"))
		w.Header().Set("X-Cornelsaddle-Runner-Seal", "seal")
		w.Header().Set("Server-Leaving", "1")
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), served
}

// TestLeavingEndpointIsAnnounced lets an endpoint tell one of two VMs in a response
// that it leaves, while the registry lists it as ready, also by a later row. Neither
// VM sends it a request any more.
func TestLeavingEndpointIsAnnounced(t *testing.T) {
	store := newMemoryStore()
	address, served := startLeavingEndpoint(t)
	store.putConfiguration(t, 1, "/a/")
	store.putEndpoint(t, "i-1", address, "ready")
	a := startVM(t, "a", store)
	b := startVM(t, "b", store, a.settings.Peers)
	for _, v := range []*VM{a, b} {
		awaitStatus(t, v.settings.Balancer, "/readyz", http.StatusOK)
	}
	require.Eventually(t, func() bool { return len(a.members.service.Live()) == 2 }, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, status(t, a.settings.Callers, "/a/x"))
	isLeaving := func(v *VM) bool {
		_, availability := v.components.Registry.Lookup("i-1")
		return availability == directory.Leaving
	}
	require.True(t, isLeaving(a))
	require.Eventually(t, func() bool { return isLeaving(b) }, 5*time.Second, time.Millisecond)
	store.putEndpoint(t, "i-1", address, "ready")
	for _, v := range []*VM{a, b} {
		require.Equal(t, http.StatusServiceUnavailable, status(t, v.settings.Callers, "/a/x"))
	}
	require.Equal(t, int64(1), served.Load())
}

// newTestRegistry returns a registry that lists one endpoint, "i-1", of an incarnation.
func newTestRegistry(t *testing.T, started int64) *registry {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	sink := coordination.NewLocalDispatcher(dispatch.DefaultConfig(), quarantine.DefaultConfig())
	r := newRegistry(platform.Documents{}, log, sink, time.Second, func(directory.Incarnation) {})
	t.Cleanup(r.stop)
	r.Changed([]provider.Row{incarnationRow(started, 1)})
	return r
}

func incarnationRow(started, version int64) provider.Row {
	text := fmt.Sprintf(`{"service":"s","address":"10.0.0.5:80","slots":8,"state":"ready","born":%d}`, started)
	return provider.Row{Key: "i-1", Value: []byte(text), Version: version}
}

// TestLeavingIsKnownOfTheIncarnationThatWasAsked lets responses tell that an endpoint leaves which is
// not listed when they come, or whose next incarnation is: the one that was asked gets no more
// requests when it is listed again, and the next one does. What was told of an unlisted endpoint
// was forgotten, and the next incarnation was taken for the one that leaves.
func TestLeavingIsKnownOfTheIncarnationThatWasAsked(t *testing.T) {
	leaving := provider.ResponseHeader{Leaving: true}
	r := newTestRegistry(t, 7)
	asked, _ := r.Lookup("i-1")
	r.Changed([]provider.Row{{Key: "i-1", Removed: true, Version: 2}})
	r.Observed(asked.Incarnation(), leaving)
	r.Changed([]provider.Row{incarnationRow(7, 3)})
	_, availability := r.Lookup("i-1")
	require.Equal(t, directory.Leaving, availability)

	r = newTestRegistry(t, 7)
	r.Changed([]provider.Row{incarnationRow(8, 2)})
	r.Observed(asked.Incarnation(), leaving)
	_, availability = r.Lookup("i-1")
	require.Equal(t, directory.Available, availability)
	r.Observed(asked.Incarnation(), provider.ResponseHeader{RetryAfter: time.Minute})
	_, availability = r.Lookup("i-1")
	require.Equal(t, directory.Available, availability, "the incarnation that asked for a pause is gone")
}
