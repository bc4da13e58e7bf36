package reserve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	engineMemory = 1000
	waitTimeout  = 20 * time.Second
)

// TestMain checks for leaked goroutines. It ignores those with which fasthttp closes
// idle connections, which end by themselves after some seconds, and cleans its
// dialer's cache.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

// fakeMembers is the membership that all VMs of a test share.
type fakeMembers struct {
	mu   sync.Mutex
	live []Member
	dead map[peer.Identity]bool
}

func (v *fakeMembers) Live() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Member(nil), v.live...)
}

func (v *fakeMembers) Life(id peer.Identity) Life {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.dead[id] {
		return Dead
	}
	return Alive
}

// removeMember removes the VM from the live members and marks it as dead if certain.
func (v *fakeMembers) removeMember(id peer.Identity, certain bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dead[id] = certain
	for i, m := range v.live {
		if m.Identity == id {
			v.live = append(v.live[:i], v.live[i+1:]...)
			return
		}
	}
}

// testVM has the reservation components of an entry VM.
type testVM struct {
	id      peer.Identity
	holder  *Holder
	sweeper *Sweeper
	server  *peer.Server
	client  *peer.Client
	once    sync.Once
}

// crash stops the VM without releasing its reservations.
func (v *testVM) crash() {
	v.once.Do(func() {
		v.server.Close()
		v.client.Close()
		v.holder.Stop()
	})
}

// fixture is a region of VMs and engines.
type fixture struct {
	*fakeMembers
	vms       []*testVM
	engines   map[string]*engine.Server
	addresses map[string]string
	snapshot  *confsync.Snapshot
	caller    *endpoint.Caller
}

func newFixture(t *testing.T, vms int, cfg Config) *fixture {
	t.Helper()
	f := &fixture{
		fakeMembers: &fakeMembers{dead: make(map[peer.Identity]bool)},
		engines:     make(map[string]*engine.Server),
		addresses:   make(map[string]string),
		caller:      endpoint.NewCaller(),
		snapshot: &confsync.Snapshot{Version: 1, Document: &configuration.Document{
			Services:  map[string]configuration.Service{"pool": {Kind: configuration.KindModel}},
			Endpoints: map[string]configuration.Endpoint{},
		}},
	}
	t.Cleanup(f.caller.Close)
	for _, id := range []string{"e0", "e1", "e2"} {
		e, err := engine.Start(engine.Config{Address: "127.0.0.1:0", Model: engine.ModelConfig{
			MemoryTokens: engineMemory, PrefillRate: 1e6, DecodeStep: 5 * time.Millisecond, PrefillChunkTokens: 100,
		}})
		require.NoError(t, err)
		t.Cleanup(e.Close)
		f.engines[id] = e
		f.addresses[id] = e.Addr()
		f.snapshot.Endpoints[id] = configuration.Endpoint{Service: "pool", Address: e.Addr(), MemoryTokens: engineMemory}
	}
	for i := range vms {
		f.startVM(t, i, cfg)
	}
	return f
}

func (f *fixture) startVM(t *testing.T, i int, cfg Config) {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	id := peer.Identity{VM: fmt.Sprintf("vm%d", i), Incarnation: 1}
	mux := peer.NewMux()
	peers := peer.Config{Self: id, Keys: []string{"0123456789abcdef"}}
	v := &testVM{id: id}
	v.server, err = peer.Listen("127.0.0.1:0", peers, mux, log, metrics.NewRegistry())
	require.NoError(t, err)
	v.client, err = peer.NewClient(peers, mux, log, metrics.NewRegistry())
	require.NoError(t, err)
	v.holder = NewHolder(cfg, id, NewCoordinator(cfg, f.caller, mux), v.client, f, mux)
	v.sweeper = NewSweeper(v.holder, func() *confsync.Snapshot { return f.snapshot }, log)
	v.holder.Start()
	f.vms = append(f.vms, v)
	f.live = append(f.live, Member{id, v.server.Addr()})
	t.Cleanup(v.crash)
}

func (f *fixture) claim(request string, tokens ...int64) Claim {
	c := Claim{Request: request, Attempt: 1, Lead: "e0", Addresses: f.addresses, Lost: func(error) {}}
	for i, n := range tokens {
		c.Need += n
		c.Shares = append(c.Shares, reservation.Share{Endpoint: fmt.Sprintf("e%d", i), Tokens: n})
	}
	return c
}

func (f *fixture) requireFree(t *testing.T, want ...int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, w := range want {
			if f.engines[fmt.Sprintf("e%d", i)].Free() != w {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond)
}

func (f *fixture) sweepAll() {
	for _, v := range f.vms {
		v.sweeper.Sweep()
	}
}

func TestTakeIsAllOrNothing(t *testing.T) {
	f := newFixture(t, 3, DefaultConfig())
	first, err := f.vms[0].holder.Take(context.Background(), f.claim("a", 900, 900, 200))
	require.NoError(t, err)
	f.requireFree(t, 100, 100, 800)

	_, err = f.vms[1].holder.Take(context.Background(), f.claim("b", 100, 200))
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, RefusedError{"e1", 100}, *refused)
	f.requireFree(t, 100, 100, 800)

	first.Release()
	f.requireFree(t, engineMemory, engineMemory, engineMemory)
}

func TestSweepFreesReservationsOfDeadVM(t *testing.T) {
	f := newFixture(t, 3, DefaultConfig())
	_, err := f.vms[0].holder.Take(context.Background(), f.claim("a", 500, 500, 500))
	require.NoError(t, err)
	_, err = f.vms[1].holder.Take(context.Background(), f.claim("b", 100, 100, 100))
	require.NoError(t, err)
	f.sweepAll()
	f.requireFree(t, 400, 400, 400)

	dead := f.vms[0]
	f.removeMember(dead.id, false)
	dead.crash()
	f.sweepAll()
	f.requireFree(t, 400, 400, 400)

	f.removeMember(dead.id, true)
	for _, v := range f.vms[1:] {
		v.sweeper.Sweep()
	}
	f.requireFree(t, 900, 900, 900)
}

func TestSweepFreesOrphanOfLiveVM(t *testing.T) {
	f := newFixture(t, 2, DefaultConfig())
	r := wire.Reservation{ID: "lost", Owner: wire.Owner{VM: "vm1", Incarnation: 1, Request: "gone"}, Tokens: 300, TTLMs: time.Hour.Milliseconds()}
	require.NoError(t, f.caller.Reserve(f.addresses["e0"], r, waitTimeout))
	f.requireFree(t, 700)
	f.sweepAll()
	f.requireFree(t, engineMemory)
}

// TestSweepKeepsGroupWhileLeadStreams marks the owner of a running stream as dead. The
// sweep must not free the group's memory before the stream has ended.
func TestSweepKeepsGroupWhileLeadStreams(t *testing.T) {
	f := newFixture(t, 2, DefaultConfig())
	g, err := f.vms[0].holder.Take(context.Background(), f.claim("a", 900, 900))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	streams := endpoint.New()
	defer streams.Close()
	body := `{"prompt":"` + strings.Repeat("pole", 100) + `","max_tokens":1000,"stream":true}`
	s, err := streams.Open(ctx, endpoint.Attempt{Address: f.addresses["e0"], Path: wire.PathCompletions, Request: "a", Number: 1, Reservation: g.ID(), Body: []byte(body)})
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)

	f.removeMember(f.vms[0].id, true)
	f.vms[1].sweeper.Sweep()
	f.requireFree(t, 100, 100)

	cancel()
	require.Eventually(t, func() bool {
		f.vms[1].sweeper.Sweep()
		return f.engines["e0"].Free() == engineMemory && f.engines["e1"].Free() == engineMemory
	}, waitTimeout, 20*time.Millisecond)
}

func TestCoordinatorFailover(t *testing.T) {
	f := newFixture(t, 3, DefaultConfig())
	for _, v := range f.vms[1:] {
		v.crash()
	}
	g, err := f.vms[0].holder.Take(context.Background(), f.claim("a", 100, 100, 100))
	require.NoError(t, err)
	f.requireFree(t, 900, 900, 900)
	g.Release()
	f.requireFree(t, engineMemory, engineMemory, engineMemory)
}

func TestRenewalUntilShareIsLost(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TTL, cfg.Renew = 400*time.Millisecond, 50*time.Millisecond
	f := newFixture(t, 2, cfg)
	lost := make(chan error, 10)
	c := f.claim("a", 100, 100)
	c.Lost = func(err error) { lost <- err }
	g, err := f.vms[0].holder.Take(context.Background(), c)
	require.NoError(t, err)
	time.Sleep(2 * cfg.TTL)
	require.Equal(t, int64(900), f.engines["e1"].Free())
	require.Empty(t, lost)

	request, err := http.NewRequest(http.MethodDelete, "http://"+f.addresses["e1"]+wire.PathReservations+"/"+g.id("e1"), nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	var lostError *LostError
	require.ErrorAs(t, <-lost, &lostError)
	require.Equal(t, "e1", lostError.Endpoint)
	g.Release()
	f.requireFree(t, engineMemory, engineMemory)
	require.Empty(t, lost)
}

// TestSlowRenewalDoesNotSetTheTimeBack ends an earlier renewal of a grant after a later
// one.
func TestSlowRenewalDoesNotSetTheTimeBack(t *testing.T) {
	h := &Holder{cfg: DefaultConfig()}
	g := &Grant{}
	later := time.Now()
	earlier := later.Add(-2 * h.cfg.TTL)
	require.False(t, h.expired(g, later, true))
	require.False(t, h.expired(g, earlier, true))
	require.Equal(t, later, g.renewed)
}

// TestExpiryNamesTheShareThatIsNotRenewed checks to which share the expiry of a grant is
// attributed.
func TestExpiryNamesTheShareThatIsNotRenewed(t *testing.T) {
	g := &Grant{claim: Claim{Shares: []reservation.Share{{Endpoint: "e0"}, {Endpoint: "e1"}}}}
	require.Equal(t, "e1", lostShare(g, &g.claim.Shares[1]).Endpoint)
	require.Equal(t, "e0", lostShare(g, nil).Endpoint, "all were renewed too late")
}

// TestTTLFreesUnrenewedReservations checks that the TTL alone frees a reservation whose
// owner has crashed, without a sweep.
func TestTTLFreesUnrenewedReservations(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TTL = 200 * time.Millisecond
	f := newFixture(t, 1, cfg)
	_, err := f.vms[0].holder.Take(context.Background(), f.claim("a", 100))
	require.NoError(t, err)
	f.vms[0].crash()
	f.requireFree(t, engineMemory)
}

// TestConcurrentGroups has VMs compete for engines that can hold one group at a time.
// Every group must be granted in the end, and no reservation may remain.
func TestConcurrentGroups(t *testing.T) {
	f := newFixture(t, 3, DefaultConfig())
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			h := f.vms[i%3].holder
			for {
				g, err := h.Take(context.Background(), f.claim(fmt.Sprintf("r%d", i), 600, 600, 600))
				if err == nil {
					g.Release()
					return
				}
				time.Sleep(time.Duration(i+1) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	f.requireFree(t, engineMemory, engineMemory, engineMemory)
}
