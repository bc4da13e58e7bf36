package orders

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/orders"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const waitLimit = 30 * time.Second

// fakeLeases holds every lease with the fencing number in fencing; none if that
// is zero.
type fakeLeases struct {
	mu      sync.Mutex
	fencing int64
	raised  int64
}

func (f *fakeLeases) SetWanted([]string) error { return nil }

func (f *fakeLeases) Use(string, time.Duration) (int64, func(), bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fencing, func() {}, f.fencing > 0
}

func (f *fakeLeases) Raise(_ string, above int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raised = above
	f.fencing = above + 1
}

// fakeConfiguration is a Configuration with a settable snapshot.
type fakeConfiguration struct {
	mu   sync.Mutex
	snap *confsync.Snapshot
}

func (f *fakeConfiguration) Current() *confsync.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fakeConfiguration) deploy(version int64, engines map[string]*engine.Server, d configuration.Deploy) {
	doc := &configuration.Document{
		Services:  map[string]configuration.Service{"scribe-pool": {Kind: configuration.KindModel, Deploy: &d}},
		Endpoints: make(map[string]configuration.Endpoint),
	}
	for id, e := range engines {
		doc.Endpoints[id] = configuration.Endpoint{Service: "scribe-pool", Address: e.Addr()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = &confsync.Snapshot{Version: version, Document: doc}
}

func startEngines(t *testing.T, ids ...string) map[string]*engine.Server {
	t.Helper()
	engines := make(map[string]*engine.Server)
	for _, id := range ids {
		e, err := engine.Start(engine.Config{
			Address:       "127.0.0.1:0",
			InitialModel:  "scribe-pool",
			ChecksFencing: true,
			LoadTime:      50 * time.Millisecond,
			Model:         engine.ModelConfig{MemoryTokens: 1000, PrefillRate: 1000, DecodeStep: time.Millisecond, PrefillChunkTokens: 100},
		})
		require.NoError(t, err)
		t.Cleanup(e.Close)
		engines[id] = e
	}
	return engines
}

func startManager(t *testing.T, conf *fakeConfiguration, leases *fakeLeases) {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "test")
	require.NoError(t, err)
	caller := endpoint.NewCaller()
	cfg := orders.DefaultConfig()
	cfg.SettleTime = 0
	cfg.WatchEvery = 20 * time.Millisecond
	cfg.RereadDelay = 20 * time.Millisecond
	m := newManager(cfg, conf, leases, caller, log)
	m.Start()
	t.Cleanup(func() { m.Stop(); caller.Close() })
}

func TestEnginesReachDeclaredState(t *testing.T) {
	engines := startEngines(t, "scribe-1", "scribe-2", "scribe-3")
	conf := &fakeConfiguration{}
	conf.deploy(1, engines, configuration.Deploy{Version: "v1", Adapters: []string{"silk"}, MaxUnavailable: 0.4})
	leases := &fakeLeases{fencing: 7}
	startManager(t, conf, leases)
	requireLastOrder(t, engines, wire.Order{Fencing: 7, Model: "scribe-pool", Version: "v1", Adapters: []string{"silk"}})
	conf.deploy(2, engines, configuration.Deploy{Version: "v2", Role: "prefill", MaxUnavailable: 0.4})
	requireLastOrder(t, engines, wire.Order{Fencing: 7, Model: "scribe-pool", Version: "v2", Role: "prefill"})
	for id, e := range engines {
		require.Len(t, e.Orders(), 2, "%s got a number of orders different from its number of changes", id)
	}
}

// TestFencingNumberRaisedAfterStaleOrder moves an endpoint from a service whose
// lease had a higher fencing number. The endpoint refuses orders as stale until
// the fencing number of the new service's lease is raised.
func TestFencingNumberRaisedAfterStaleOrder(t *testing.T) {
	engines := startEngines(t, "scribe-1")
	caller := endpoint.NewCaller()
	defer caller.Close()
	require.NoError(t, caller.SendOrder(engines["scribe-1"].Addr(), wire.Order{Fencing: 50, Model: "other"}, time.Second))
	var stale *endpoint.StaleFencingError
	require.ErrorAs(t, caller.SendOrder(engines["scribe-1"].Addr(), wire.Order{Fencing: 49, Model: "other"}, time.Second), &stale)
	conf := &fakeConfiguration{}
	conf.deploy(1, engines, configuration.Deploy{Version: "v1"})
	leases := &fakeLeases{fencing: 3}
	startManager(t, conf, leases)
	requireLastOrder(t, engines, wire.Order{Fencing: 51, Model: "scribe-pool", Version: "v1"})
	require.EqualValues(t, 50, leases.raised)
}

// TestNoOrdersWithoutLease checks that a VM without the lease sends no orders.
func TestNoOrdersWithoutLease(t *testing.T) {
	engines := startEngines(t, "scribe-1")
	conf := &fakeConfiguration{}
	conf.deploy(1, engines, configuration.Deploy{Version: "v1"})
	leases := &fakeLeases{}
	startManager(t, conf, leases)
	time.Sleep(4 * tickInterval)
	require.Empty(t, engines["scribe-1"].Orders())
}

func requireLastOrder(t *testing.T, engines map[string]*engine.Server, want wire.Order) {
	t.Helper()
	for id, e := range engines {
		require.Eventually(t, func() bool {
			taken := e.Orders()
			return len(taken) > 0 && sameOrder(taken[len(taken)-1], want)
		}, waitLimit, 10*time.Millisecond, id)
	}
}

func sameOrder(got, want wire.Order) bool {
	return got.Fencing == want.Fencing && got.Model == want.Model && got.Version == want.Version && got.Role == want.Role && len(got.Adapters) == len(want.Adapters)
}
