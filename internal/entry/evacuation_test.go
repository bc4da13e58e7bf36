package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// putEndpointIn writes an endpoint of the service "s" in a failure domain.
func (s *memoryStore) putEndpointIn(t *testing.T, id, address, domain string) {
	t.Helper()
	text := fmt.Sprintf(`{"service":"s","address":"%s","zone":"%s","slots":8,"state":"ready"}`, address, domain)
	require.NoError(t, s.Put(context.Background(), provider.Endpoints, id, []byte(text)))
}

// availability returns whether the VM may send requests to the endpoint.
func availability(v *VM, id string) directory.Availability {
	_, a := v.components.Registry.Lookup(id)
	return a
}

// TestEvacuatedDomainGetsNoRequests evacuates a failure domain and takes that back, at
// VMs that run and that start meanwhile.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	first, servedFirst := startEndpoint(t, 0)
	second, servedSecond := startEndpoint(t, 0)
	store.putEndpointIn(t, "i-1", first, "d1")
	store.putEndpointIn(t, "i-2", second, "d2")
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Balancer, "/readyz", http.StatusOK)

	require.NoError(t, store.Put(context.Background(), provider.Configuration, "evacuate/d1", []byte("{}")))
	require.Eventually(t, func() bool { return availability(a, "i-1") == directory.Evacuated }, 5*time.Second, time.Millisecond)
	b := startVM(t, "b", store, a.settings.Peers)
	awaitStatus(t, b.settings.Balancer, "/readyz", http.StatusOK)
	require.Equal(t, directory.Evacuated, availability(b, "i-1"), "a VM that starts knows it before it is ready")
	store.putEndpointIn(t, "i-1", first, "d1")
	for range 10 {
		require.Equal(t, http.StatusOK, status(t, a.settings.Callers, "/a/x"))
		require.Equal(t, http.StatusOK, status(t, b.settings.Callers, "/a/x"))
	}
	require.Zero(t, servedFirst.Load())
	require.EqualValues(t, 20, servedSecond.Load())

	require.NoError(t, store.Put(context.Background(), provider.Configuration, "evacuate/d2", []byte("{}")))
	require.Eventually(t, func() bool { return availability(a, "i-2") == directory.Evacuated }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, status(t, a.settings.Callers, "/a/x"), "no other domain is left")
	require.NoError(t, store.Remove(context.Background(), provider.Configuration, "evacuate/d1"))
	for _, v := range []*VM{a, b} {
		require.Eventually(t, func() bool { return availability(v, "i-1") == directory.Available }, 5*time.Second, time.Millisecond)
		awaitStatus(t, v.settings.Callers, "/a/x", http.StatusOK)
	}
	require.EqualValues(t, 20, servedSecond.Load())
}

// TestRestoredStoreKeepsEvacuations restores the store to before one failure domain was
// evacuated and another evacuation was taken back. Both hold until the operator has
// written them again.
func TestRestoredStoreKeepsEvacuations(t *testing.T) {
	evacuate := func(store *memoryStore, domain string) {
		require.NoError(t, store.Put(t.Context(), provider.Configuration, "evacuate/"+domain, []byte("{}")))
	}
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	first, _ := startEndpoint(t, 0)
	second, _ := startEndpoint(t, 0)
	store.putEndpointIn(t, "i-1", first, "d1")
	store.putEndpointIn(t, "i-2", second, "d2")
	evacuate(store, "d2")
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Callers, "/a/x", http.StatusOK)
	require.Equal(t, directory.Evacuated, availability(a, "i-2"))
	rows, version := store.backup()
	evacuate(store, "d1")
	require.NoError(t, store.Remove(t.Context(), provider.Configuration, "evacuate/d2"))
	both := func() bool {
		return availability(a, "i-1") == directory.Evacuated && availability(a, "i-2") == directory.Available
	}
	require.Eventually(t, both, 5*time.Second, time.Millisecond)
	store.restore(rows, version)
	awaitEpoch(t, a, 1)
	require.True(t, both())
	evacuate(store, "d1")
	require.NoError(t, store.Remove(t.Context(), provider.Configuration, "evacuate/d2"))
	require.NoError(t, store.Remove(t.Context(), provider.Configuration, "evacuate/d1"))
	require.Eventually(t, func() bool { return availability(a, "i-1") == directory.Available }, 5*time.Second, time.Millisecond)
	require.Equal(t, directory.Available, availability(a, "i-2"))
}
