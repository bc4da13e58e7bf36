package entry

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// TestStoreCallsAreCounted counts calls with their rows, and a call that fails.
func TestStoreCallsAreCounted(t *testing.T) {
	store, registry := newMemoryStore(), metrics.NewRegistry()
	counted := &countedStore{store, registry}
	require.NoError(t, counted.Put(t.Context(), provider.VMs, "vm", []byte("row")))
	page, err := counted.List(t.Context(), provider.VMs)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	require.NoError(t, counted.Remove(t.Context(), provider.VMs, "vm"))
	_, err = counted.Follow(t.Context(), provider.VMs, page.Version, time.Millisecond)
	require.NoError(t, err)
	count := func(name string, call storeCall) int64 {
		return metrics.GetOrRegisterCounter(name+`{call="`+string(call)+`",topic="vms"}`, registry).Count()
	}
	for _, call := range []storeCall{callPut, callList, callRemove, callFollow} {
		require.EqualValues(t, 1, count(storeCalls, call), call)
		require.Zero(t, count(storeFailures, call), call)
	}
	require.EqualValues(t, len("vm")+len("row"), count(storeBytes, callPut))
	require.EqualValues(t, len("vm")+len("row"), count(storeBytes, callList))
	store.setUnavailable(true)
	_, err = counted.List(t.Context(), provider.VMs)
	require.Error(t, err)
	require.EqualValues(t, 1, count(storeFailures, callList))
}
