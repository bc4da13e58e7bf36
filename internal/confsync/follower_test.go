package confsync_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	standin "cornelsaddle.example/cornelsaddle/standin/platform"
)

const (
	waitLimit = 30 * time.Second
	waitStep  = 5 * time.Millisecond
	poll      = 500 * time.Millisecond
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "6")
	// The clean-up goroutines of the HTTP library end some time after its clients
	// and servers are closed.
	goleak.VerifyTestMain(m,
		goleak.Cleanup(os.Exit),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}

// vm is a follower with its membership service, connected over loopback.
type vm struct {
	follower *confsync.Follower
	members  *member.Service
	server   *peer.Server
	client   *peer.Client
	store    *platform.Client
	registry metrics.Registry
}

// observer passes the versions that peers report to the follower.
type observer struct{ follower *confsync.Follower }

func (o observer) PeerVersion(address string, v int64) { o.follower.HandlePeerVersion(address, v) }
func (o observer) PeerDigest(string, []byte)           {}
func (o observer) EndpointMarked(membership.Mark)      {}
func (o observer) NoteChanged(membership.Note)         {}
func (o observer) ListedLeaving(string)                {}
func (o observer) MembersChanged()                     {}

func startVM(t testing.TB, store string, i int) *vm {
	t.Helper()
	log, err := event.New(io.Discard, "json", "error", "test")
	require.NoError(t, err)
	v := &vm{store: platform.New(store, time.Second), registry: metrics.NewRegistry()}
	self := peer.Identity{VM: fmt.Sprintf("entry-%d", i), Incarnation: int64(i + 1)}
	cfg := peer.Config{Self: self, Keys: []string{"0123456789abcdef"}}
	mux := peer.NewMux()
	v.server, err = peer.Listen("127.0.0.1:0", cfg, mux, log, v.registry)
	require.NoError(t, err)
	v.client, err = peer.NewClient(cfg, mux, log, v.registry)
	require.NoError(t, err)
	v.follower = confsync.New(v.store, log, poll)
	v.members = member.Start(member.Config{
		Self:     membership.Record{ID: self.VM, Address: v.server.Addr(), Incarnation: self.Incarnation},
		Caller:   v.client,
		List:     v.store,
		Log:      log,
		Observer: observer{v.follower},
		Version:  v.follower.NewestKnown,
	}, mux)
	v.follower.ConnectPeers(v.members, mux)
	v.follower.Start()
	t.Cleanup(v.stop)
	return v
}

func (v *vm) stop() {
	v.members.Stop()
	v.follower.Stop()
	v.client.Close()
	v.server.Close()
	v.store.Close()
}

func (v *vm) version() int64 {
	if snap := v.follower.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// startAll starts a platform with a first version and VMs that follow it, and
// waits until all VMs list each other and are current.
func startAll(t testing.TB, count int) (*standin.Server, []*vm) {
	t.Helper()
	p, err := standin.Start(standin.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	publish(t, p, 0)
	vms := make([]*vm, 0, count)
	list := make([]wire.VM, 0, count)
	for i := range count {
		v := startVM(t, p.Addr(), i)
		vms = append(vms, v)
		list = append(list, wire.VM{ID: fmt.Sprintf("entry-%d", i), Peer: v.server.Addr(), State: wire.VMLive})
		p.SetVMs(list)
	}
	require.Eventually(t, func() bool {
		for _, v := range vms {
			if v.members.Count() != count-1 || v.follower.Standing() != configuration.StandingCurrent {
				return false
			}
		}
		return true
	}, waitLimit, waitStep)
	return p, vms
}

// publish applies a configuration as the version after base.
func publish(t testing.TB, p *standin.Server, base int64) {
	t.Helper()
	store := platform.New(p.Addr(), time.Second)
	defer store.Close()
	data := fmt.Sprintf(`{"organisations":{},"endpoints":{},"services":{"desk":{"kind":"plain","max_timeout_ms":%d,"operations":{"a":{"idempotent":true}}}}}`, base+1)
	version, err := confapply.Apply(store, []configuration.File{{Name: "10.json", Data: []byte(data)}}, base)
	require.NoError(t, err)
	require.Equal(t, base+1, version)
}

func allAt(vms []*vm, version int64) func() bool {
	return func() bool {
		for _, v := range vms {
			if v.version() != version {
				return false
			}
		}
		return true
	}
}

func TestVersionsReachAllVMs(t *testing.T) {
	p, vms := startAll(t, 4)
	for base := int64(1); base <= 4; base++ {
		publish(t, p, base)
		require.Eventually(t, allAt(vms, base+1), waitLimit, waitStep)
		for _, v := range vms {
			require.Equal(t, base+1, v.follower.Current().Services["desk"].MaxTimeoutMs, "document built from patches differs")
		}
	}
}

// TestPeersCarryTheConfiguration checks that a VM that can't reach the store
// fetches the version from its peers and accepts work.
func TestPeersCarryTheConfiguration(t *testing.T) {
	p, vms := startAll(t, 2)
	cut := startVM(t, "127.0.0.1:1", 2)
	p.SetVMs([]wire.VM{{ID: "entry-2", Peer: cut.server.Addr(), State: wire.VMLive}})
	require.Eventually(t, func() bool {
		return cut.version() == 1 && cut.follower.Standing() == configuration.StandingCurrent
	}, waitLimit, waitStep)
	publish(t, p, 1)
	require.Eventually(t, allAt(append(vms, cut), 2), waitLimit, waitStep)
}

func TestRestartWithoutStoreOrPeersIsNotReady(t *testing.T) {
	v := startVM(t, "127.0.0.1:1", 0)
	require.Never(t, func() bool { return v.follower.Standing() == configuration.StandingCurrent }, time.Second, 50*time.Millisecond)
	require.Nil(t, v.follower.Current())
}

func TestDamagedObjectIsNotPutInForce(t *testing.T) {
	p, vms := startAll(t, 1)
	store := platform.New(p.Addr(), time.Second)
	defer store.Close()
	publish(t, p, 1)
	head, err := confapply.ReadHead(store)
	require.NoError(t, err)
	require.Eventually(t, allAt(vms, 2), waitLimit, waitStep)
	require.NoError(t, store.PutObject(head.Object, []byte(`{"services":{}}`)))
	// Clears the VM list, so that the new VM can't fetch the document from a peer.
	p.SetVMs(nil)
	late := startVM(t, p.Addr(), 9)
	require.Never(t, func() bool { return late.version() != 0 }, time.Second, 50*time.Millisecond)
}

// BenchmarkTraffic reports the cost of membership and configuration for an idle
// VM over loopback: bytes per second sent and received, with framing and
// authentication codes, and CPU time.
func BenchmarkTraffic(b *testing.B) {
	const window = 10 * time.Second
	for _, count := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			_, vms := startAll(b, count)
			bytes, cpu, start := trafficBytes(vms), cpuTime(b), time.Now()
			for b.Loop() {
				time.Sleep(window)
			}
			seconds := time.Since(start).Seconds() * float64(count)
			b.ReportMetric(float64(trafficBytes(vms)-bytes)/seconds, "bytes/s/VM")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/seconds, "us/s/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// trafficBytes returns the number of bytes that the VMs have sent and received.
func trafficBytes(vms []*vm) int64 {
	var sum int64
	for _, v := range vms {
		c := peer.NewCounters(v.registry)
		sum += c.BytesSent.Count() + c.BytesReceived.Count()
	}
	return sum
}

// cpuTime returns the CPU time that the test process has used so far.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkInForce reports the mean and worst time from the acceptance of a
// version until it is in force on all VMs, and the reads of the store by all VMs
// per second.
func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{4, 16} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			p, vms := startAll(b, count)
			reads, start := p.Counts().Reads, time.Now()
			var worst, total time.Duration
			base := int64(1)
			for b.Loop() {
				publish(b, p, base)
				accepted := time.Now()
				base++
				require.Eventually(b, allAt(vms, base), waitLimit, waitStep)
				took := time.Since(accepted)
				worst, total = max(worst, took), total+took
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms-mean")
			b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
			b.ReportMetric(float64(p.Counts().Reads-reads)/time.Since(start).Seconds(), "reads/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
