package entry

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// backup returns the store's content and version.
func (s *memoryStore) backup() (map[provider.Topic]map[string]provider.Row, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[provider.Topic]map[string]provider.Row, len(s.rows))
	for topic, table := range s.rows {
		rows[topic] = maps.Clone(table)
	}
	return rows, s.version
}

// restore replaces the content by a backup and begins a new epoch, in which versions
// after that of the backup are issued again.
func (s *memoryStore) restore(rows map[provider.Topic]map[string]provider.Row, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = rows, version
	s.epoch++
	for _, table := range s.rows {
		for key, row := range table {
			row.Epoch = s.epoch
			table[key] = row
		}
	}
	s.notify()
}

func awaitEpoch(t *testing.T, v *VM, epoch int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		return v.configuration.Revision().Epoch == epoch && v.endpoints.Revision().Epoch == epoch
	}, 10*time.Second, time.Millisecond)
}

// TestRestoredStoreKeepsConfigurationInForce restores the store to before an
// acknowledged configuration. The VM keeps that configuration, and a VM that starts
// before the operator has written it again learns it from the first one.
func TestRestoredStoreKeepsConfigurationInForce(t *testing.T) {
	store := newMemoryStore()
	address, _ := startEndpoint(t, 0)
	store.putConfiguration(t, 1, "/a/")
	store.putEndpoint(t, "i-1", address, "ready")
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Callers, "/a/x", http.StatusOK)
	rows, version := store.backup()
	store.putConfiguration(t, 2, "/b/")
	awaitStatus(t, a.settings.Callers, "/b/x", http.StatusOK)
	store.restore(rows, version)
	awaitEpoch(t, a, 1)
	require.Equal(t, http.StatusOK, status(t, a.settings.Callers, "/b/x"))
	require.Equal(t, http.StatusNotFound, status(t, a.settings.Callers, "/a/x"))
	b := startVM(t, "b", store, a.settings.Peers)
	awaitStatus(t, b.settings.Callers, "/b/x", http.StatusOK)
	store.putConfiguration(t, 2, "/b/")
	store.putConfiguration(t, 3, "/c/")
	for _, v := range []*VM{a, b} {
		awaitStatus(t, v.settings.Callers, "/c/x", http.StatusOK)
	}
}

// TestRestoredStoreKeepsEndpoints restores the store to before an endpoint left and
// another one registered. The first one gets no request, the second one stays in use.
func TestRestoredStoreKeepsEndpoints(t *testing.T) {
	store := newMemoryStore()
	gone, servedByGone := startEndpoint(t, 0)
	draining, servedByDraining := startEndpoint(t, 0)
	added, _ := startEndpoint(t, 0)
	store.putConfiguration(t, 1, "/a/")
	store.putEndpoint(t, "i-gone", gone, "ready")
	store.putEndpoint(t, "i-draining", draining, "ready")
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Callers, "/a/x", http.StatusOK)
	rows, version := store.backup()
	store.putEndpoint(t, "i-added", added, "ready")
	store.putEndpoint(t, "i-draining", draining, "draining")
	require.NoError(t, store.Remove(t.Context(), provider.Endpoints, "i-gone"))
	require.Eventually(t, func() bool {
		_, availability := a.components.Registry.Lookup("i-gone")
		return availability == directory.Unlisted && a.components.Registry.usable() == 1
	}, 10*time.Second, time.Millisecond)
	store.restore(rows, version)
	awaitEpoch(t, a, 1)
	before := servedByGone.Load() + servedByDraining.Load()
	for range 10 {
		require.Equal(t, http.StatusOK, status(t, a.settings.Callers, "/a/x"))
	}
	require.Equal(t, before, servedByGone.Load()+servedByDraining.Load())
}

// TestRestoredStoreGetsVMRowAgain restores the store to before the VM had written its
// row. The VM writes it again.
func TestRestoredStoreGetsVMRowAgain(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	rows, version := store.backup()
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Balancer, "/readyz", http.StatusOK)
	require.Eventually(t, func() bool { return len(storedVMs(store)) == 1 }, 10*time.Second, time.Millisecond)
	store.restore(rows, version)
	require.Empty(t, storedVMs(store))
	require.Eventually(t, func() bool { return len(storedVMs(store)) == 1 }, 10*time.Second, time.Millisecond)
}
