package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
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

// evacuationBound is the time after the acknowledgement of an evacuation from which on no request may
// reach the endpoints of the domain.
const evacuationBound = 5 * time.Second

// startVMsOf starts VMs that know each other, and returns the holder of the service "s" and the
// others.
func startVMsOf(t *testing.T, store provider.Store, names ...string) (holder *VM, others []*VM) {
	t.Helper()
	vms, seeds := make([]*VM, 0, len(names)), make([]string, 0, len(names))
	for _, name := range names {
		v := startVM(t, name, store, seeds...)
		vms, seeds = append(vms, v), append(seeds, v.settings.Peers)
	}
	first := rendezvous.New(names, xxhash.Sum64String).Lookup("s")
	for _, v := range vms {
		awaitStatus(t, v.settings.Balancer, "/readyz", http.StatusOK)
		require.Eventually(t, func() bool { return len(v.members.service.Live()) == len(vms) }, 20*time.Second, 10*time.Millisecond)
		if v.settings.VM == first {
			holder = v
		} else {
			others = append(others, v)
		}
	}
	return holder, others
}

// TestEvacuationHoldsOverAChangeOfTheHolder takes the holder of a service away just after the
// operator's evacuation is acknowledged, under requests at the other VMs: the next holder and the
// VMs that ask it may send nothing to the domain after the bound, and all requests after it are
// served.
func TestEvacuationHoldsOverAChangeOfTheHolder(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	evacuated, other := startLimitedEndpoint(t, ""), startLimitedEndpoint(t, "")
	store.putEndpointIn(t, "i-1", evacuated.address, "d1")
	store.putEndpointIn(t, "i-2", other.address, "d2")
	holder, others := startVMsOf(t, store, "a", "b", "c")
	sendEach(t, others, 20*time.Millisecond, time.Second)
	require.NotEmpty(t, evacuated.arrived())

	require.NoError(t, store.Put(t.Context(), provider.Configuration, "evacuate/d1", []byte("{}")))
	acknowledged := time.Now()
	holder.members.server.Close()
	sendEach(t, others, 20*time.Millisecond, evacuationBound)
	bound := acknowledged.Add(evacuationBound)
	served := len(other.arrived())
	statuses := sendEach(t, others, 20*time.Millisecond, time.Second)
	require.Equal(t, map[int]int{http.StatusOK: 50}, statuses)
	require.GreaterOrEqual(t, len(other.arrived())-served, 50)
	times := evacuated.arrived()
	last := times[len(times)-1]
	t.Logf("last request to the domain %v after the acknowledgement", last.Sub(acknowledged))
	require.True(t, last.Before(bound), "last request %v after the acknowledgement", last.Sub(acknowledged))
}

// TestVMThatStartsWithoutTheStoreKnowsEvacuations guards against a VM that starts during an evacuation,
// while the store is unavailable, and takes requests before it has learned of that from another VM.
func TestVMThatStartsWithoutTheStoreKnowsEvacuations(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	evacuated, other := startLimitedEndpoint(t, ""), startLimitedEndpoint(t, "")
	store.putEndpointIn(t, "i-1", evacuated.address, "d1")
	store.putEndpointIn(t, "i-2", other.address, "d2")
	a := startVM(t, "a", store)
	awaitStatus(t, a.settings.Balancer, "/readyz", http.StatusOK)
	require.NoError(t, store.Put(t.Context(), provider.Configuration, "evacuate/d1", []byte("{}")))
	require.Eventually(t, func() bool { return availability(a, "i-1") == directory.Evacuated }, evacuationBound, time.Millisecond)
	store.setUnavailable(true)
	b := startVM(t, "b", store, a.settings.Peers)
	awaitStatus(t, b.settings.Balancer, "/readyz", http.StatusOK)
	require.Equal(t, directory.Evacuated, availability(b, "i-1"))
	statuses := sendEach(t, []*VM{a, b}, 10*time.Millisecond, time.Second)
	require.Equal(t, map[int]int{http.StatusOK: 100}, statuses)
	require.Empty(t, evacuated.arrived())
}

// startCutEndpoint starts an endpoint that closes the connection of each request, without an answer,
// once cut is closed. It returns the number of requests that have arrived.
func startCutEndpoint(t *testing.T, cut <-chan struct{}) (address string, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived.Add(1)
		<-cut
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), arrived
}

// TestSecondAttemptAvoidsTheEvacuatedDomain guards against second attempts that go to an evacuated domain.
// The domain is evacuated while a request is in flight there, which is then cut: it is sent again to
// another domain, and not at all if there is none.
func TestSecondAttemptAvoidsTheEvacuatedDomain(t *testing.T) {
	for _, another := range []bool{true, false} {
		store := newMemoryStore()
		store.putConfiguration(t, 1, "/a/")
		cut := make(chan struct{})
		address, arrived := startCutEndpoint(t, cut)
		spare, arrivedAtSpare := startCutEndpoint(t, cut)
		other, _ := startEndpoint(t, 0)
		store.putEndpointIn(t, "i-2", other, "d2")
		a := startVM(t, "a", store)
		awaitStatus(t, a.settings.Balancer, "/readyz", http.StatusOK)
		// The retry budget of a VM that has just started is a share of its requests.
		statuses := sendEach(t, []*VM{a}, 5*time.Millisecond, 250*time.Millisecond)
		require.Equal(t, map[int]int{http.StatusOK: 50}, statuses)
		require.NoError(t, store.Remove(t.Context(), provider.Endpoints, "i-2"))
		require.Eventually(t, func() bool { return availability(a, "i-2") == directory.Unlisted }, 5*time.Second, time.Millisecond)
		store.putEndpointIn(t, "i-1", address, "d1")
		require.Eventually(t, func() bool { return availability(a, "i-1") == directory.Available }, 5*time.Second, time.Millisecond)
		result := make(chan int, 1)
		go func() { result <- status(t, a.settings.Callers, "/a/x") }()
		require.Eventually(t, func() bool { return arrived.Load() == 1 }, 5*time.Second, time.Millisecond)
		// The domain has more endpoints than the one that fails.
		store.putEndpointIn(t, "i-3", spare, "d1")
		want := http.StatusOK
		if another {
			store.putEndpointIn(t, "i-2", other, "d2")
			require.Eventually(t, func() bool { return availability(a, "i-2") == directory.Available }, evacuationBound, time.Millisecond)
		} else {
			want = http.StatusBadGateway
		}
		require.NoError(t, store.Put(t.Context(), provider.Configuration, "evacuate/d1", []byte("{}")))
		require.Eventually(t, func() bool { return availability(a, "i-3") == directory.Evacuated }, evacuationBound, time.Millisecond)
		close(cut)
		require.Equal(t, want, <-result)
		require.EqualValues(t, 1, arrived.Load())
		require.Zero(t, arrivedAtSpare.Load())
	}
}
