// Package entry wires one entry VM that passes requests through, starts it and
// shuts it down.
package entry

import (
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/mirror"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// memoryShare is the part of the VM's memory that the heap may fill; the rest
	// is for stacks and the network.
	memoryShare = 0.7
	megabyte    = 1 << 20
	// shareInterval is the time between two looks at this VM's part of the budget
	// of repeats.
	shareInterval = time.Second
)

// Platform is what the adapter of a platform gives.
type Platform struct {
	Store   provider.Store
	Decoder provider.Decoder
	Dialect provider.Dialect
	Memory  provider.Memory
}

// Entry is one running VM.
type Entry struct {
	settings config.Settings
	// limits are those in force of what settings can change.
	limits   atomic.Pointer[limits]
	platform Platform
	log      *event.Logger
	started  time.Time
	parts    parts
	callers  *server
	balancer *server
	metrics  *server
	members  *members
	watchers *watchers
	// configuration and endpoints are this VM's copies.
	configuration *mirror.Follower
	endpoints     *mirror.Follower
	// joined is closed when members, configuration and endpoints are set.
	joined chan struct{}
	// stopped is closed when the VM is to stop, and ended when it has.
	stopped chan struct{}
	ended   chan struct{}
}

// parts is what dig puts together.
type parts struct {
	dig.In
	Gateway     *gateway.Gateway
	Coordinator *coordination.Coordinator
	Local       *coordination.Local
	Registry    *registry
	Tables      *tables
	Transport   *upstream.Transport
	Metrics     *metrics.Metrics
	Identity    peer.Identity
	Mux         *peer.Mux
	Peers       *peer.Client
}

// Start wires the VM and begins to listen. dropped returns the lines that the log
// dropped since it was last asked.
func Start(settings config.Settings, platform Platform, log *event.Logger, dropped func() int64) (*Entry, error) {
	e := &Entry{
		settings: settings,
		platform: platform,
		log:      log,
		started:  time.Now(),
		watchers: newWatchers(settings.VM),
		joined:   make(chan struct{}),
		stopped:  make(chan struct{}),
		ended:    make(chan struct{}),
	}
	e.limit(settings)
	c := dig.New()
	for _, constructor := range e.constructors() {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if err := c.Invoke(func(p parts) { e.parts = p }); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	var err error
	if e.members, err = e.join(); err != nil {
		return nil, err
	}
	e.follow()
	close(e.joined)
	e.tellMembers()
	e.registerGauges()
	go e.every(droppedInterval, e.dropReporter(dropped))
	go e.every(shareInterval, func() { e.parts.Gateway.SetRepeats(e.repeatShare()) })
	log.Emit(event.GatewayStarted{Callers: settings.Callers, Peers: settings.Peers, Metrics: settings.Metrics})
	return e, nil
}

// limits are the settings that can change while a VM runs, beside those of the
// Go runtime.
type limits struct {
	grace   time.Duration
	retries config.Retries
}

// Reload brings what can change while a VM runs into force: memory and cores, the
// grace, and the budget of repeats. Addresses and names hold for a process's life.
func (e *Entry) Reload(settings config.Settings) {
	e.limit(settings)
	e.parts.Gateway.SetRepeats(e.repeatShare())
}

func (e *Entry) limit(settings config.Settings) {
	limitRuntime(settings.Machine)
	e.limits.Store(&limits{settings.Grace, settings.Retries})
}

// limitRuntime keeps the process within the VM's memory and cores.
func limitRuntime(m config.Machine) {
	if m.Cores > 0 {
		runtime.GOMAXPROCS(m.Cores)
	}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(m.MemoryMB) * megabyte * memoryShare))
	}
}

func (e *Entry) constructors() []any {
	return []any{
		metrics.New,
		func() peer.Identity { return peer.Identity{VM: e.settings.VM, Incarnation: time.Now().UnixNano()} },
		peer.NewMux,
		e.newPeers,
		func() *coordination.Local { return coordination.NewLocal(dispatch.DefaultConfig()) },
		e.newCoordinator,
		func(l *coordination.Local) *registry { return newRegistry(e.platform.Decoder, e.log, l) },
		func(l *coordination.Local) *tables { return newTables(e.platform.Decoder, e.log, l) },
		newTransport,
		e.newTickets,
		e.newGateway,
	}
}

func (e *Entry) newPeers(self peer.Identity, mux *peer.Mux, m *metrics.Metrics) (*peer.Client, error) {
	return peer.NewClient(peer.Config{Self: self, Keys: []string{fleetKey}}, mux, e.log, m.Registry)
}

func (e *Entry) newCoordinator(self peer.Identity, l *coordination.Local, peers *peer.Client, mux *peer.Mux) *coordination.Coordinator {
	return coordination.New(self.VM, l, peers, mux, e.log)
}

func newTransport(m *metrics.Metrics) *upstream.Transport {
	opened := m.Counter("upstream.connections")
	return upstream.New(func() { opened.Inc(1) })
}

func (e *Entry) newTickets(u *upstream.Transport) *ticket.Keeper {
	return ticket.NewKeeper(e.platform.Memory, u, e.log, e.settings.Memory.FreeWithin, e.settings.Memory.MaxHold)
}

func (e *Entry) newGateway(c *coordination.Coordinator, r *registry, t *tables, u *upstream.Transport, k *ticket.Keeper, m *metrics.Metrics) *gateway.Gateway {
	return gateway.New(gateway.Config{
		VM:        e.settings.VM,
		Tables:    t,
		Directory: r,
		Placer:    c,
		Dialect:   e.platform.Dialect,
		Transport: u,
		Tickets:   k,
		Log:       e.log,
		Metrics:   m,
		Repeats:   e.newRepeats,
		Draw:      rand.Float64,
	})
}

func (e *Entry) newRepeats() *retry.Window {
	share := e.repeatShare()
	return retry.NewWindow(e.limits.Load().retries.Window, share.Ratio, share.Allowance)
}

// repeatShare is this VM's part of the budget of repeats.
func (e *Entry) repeatShare() retry.Bounds {
	vms := 1
	if e.hasJoined() {
		vms = len(e.members.service.Live())
	}
	return e.limits.Load().retries.Share(vms, time.Since(e.started))
}

// every does something again and again until the VM has ended.
func (e *Entry) every(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ended:
			return
		case <-ticker.C:
			do()
		}
	}
}

func (e *Entry) follow() {
	p := e.parts
	e.configuration = mirror.Start(provider.Configuration, p.Tables, e.platform.Store, p.Peers, e.watchers, e.log)
	e.endpoints = mirror.Start(provider.Endpoints, p.Registry, e.platform.Store, p.Peers, e.watchers, e.log)
	mirror.Answer(p.Mux, e.configuration, e.endpoints)
}

// ready reports whether this VM takes requests.
func (e *Entry) ready() bool {
	select {
	case <-e.stopped:
		return false
	default:
	}
	return e.parts.Tables.Current() != nil && e.parts.Registry.ready()
}

// Stop drains the VM: it is not ready any more, goes on to serve until the
// balancer has noticed, and ends when nothing is in flight, or shortly before
// the grace is over.
func (e *Entry) Stop() {
	grace := e.limits.Load().grace
	end := time.Now().Add(grace - endMargin)
	e.log.Emit(event.GatewayStopping{InFlight: e.parts.Gateway.InFlight(), Grace: grace})
	close(e.stopped)
	e.parts.Gateway.Stop()
	go e.members.leave()
	time.Sleep(noticeTime)
	e.callers.drain(end)
	e.log.Emit(event.GatewayStopped{Cut: e.parts.Gateway.InFlight()})
}

// Close ends everything at once.
func (e *Entry) Close() {
	close(e.ended)
	e.configuration.Stop()
	e.endpoints.Stop()
	e.callers.close()
	e.balancer.close()
	e.metrics.close()
	e.parts.Registry.stop()
	e.members.stop()
	e.parts.Transport.Close()
}
