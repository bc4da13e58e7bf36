// Package entry assembles, starts and shuts down the gateway process of an entry
// VM, which forwards requests to endpoints.
package entry

import (
	"math/rand/v2"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/shutdown"
	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/mirror"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/relay"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// heapFraction is the fraction of the VM's memory available to the heap; the
	// rest is left for stacks and the network.
	heapFraction = 0.7
	megabyte     = 1 << 20
	// retryShareInterval is how often this VM's share of the retry budget is
	// recalculated.
	retryShareInterval = time.Second
)

// Platform holds a platform adapter's implementations of the provider interfaces.
type Platform struct {
	Store   provider.Store
	Decoder provider.Decoder
	Headers provider.HeaderTranslator
	// MemoryEncoder encodes the requests for endpoints' memory.
	MemoryEncoder provider.MemoryEncoder
}

// VM is the running gateway of one entry VM.
type VM struct {
	settings config.Settings
	// reloadable holds the current values of the settings that Reload can change.
	reloadable     atomic.Pointer[reloadableSettings]
	platform       Platform
	log            *event.Logger
	memory         *bufferMemory
	started        time.Time
	components     components
	callerServer   *server
	balancerServer *server
	metricsServer  *server
	members        *members
	listed         *listedVMs
	watchers       *watchers
	// population is the number of VMs that share the retry budget.
	population population
	// configuration and endpoints keep this VM's copies of those store topics up
	// to date.
	configuration *mirror.Follower
	endpoints     *mirror.Follower
	// joined is closed once members, configuration and endpoints are set.
	joined chan struct{}
	// stopping is closed at the start of Stop, and the channel closed at the start
	// of Close.
	stopping chan struct{}
	closed   chan struct{}
}

// components are the parts of the gateway that dig constructs.
type components struct {
	dig.In
	Gateway     *gateway.Gateway
	Coordinator *coordination.Coordinator
	Local       *coordination.LocalDispatcher
	Registry    *registry
	Tables      *tables
	Transport   *upstream.Transport
	Metrics     *metrics.Metrics
	Identity    peer.Identity
	Mux         *peer.Mux
	Peers       *peer.Client
	Relays      *relay.Client
	RelayServer *relay.Server
}

// Start constructs the gateway, opens its listeners and joins the other VMs.
// dropped returns the number of log lines dropped since its previous call.
func Start(settings config.Settings, platform Platform, log *event.Logger, dropped func() int64) (*VM, error) {
	e := &VM{
		settings: settings,
		platform: platform,
		log:      log,
		memory:   newBufferMemory(log),
		started:  time.Now(),
		listed:   newListedVMs(),
		joined:   make(chan struct{}),
		stopping: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	e.watchers = newWatchers(settings.VM, settings.FailureDomain, e.listed)
	e.applyReloadable(settings)
	c := dig.New()
	for _, constructor := range e.constructors() {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if err := c.Invoke(func(p components) { e.components = p }); err != nil {
		return nil, errors.WithStack(err)
	}
	e.platform.Store = &countedStore{platform.Store, e.components.Metrics.Registry}
	err := e.listen()
	if err == nil {
		e.members, err = e.join()
	}
	if err != nil {
		e.closeServers()
		return nil, err
	}
	e.startFollowers()
	close(e.joined)
	e.updateMembers()
	e.registerGauges()
	go e.runPeriodically(countersInterval, e.newCountersReporter())
	go e.runPeriodically(droppedLinesInterval, e.newDroppedLinesReporter(dropped))
	time.AfterFunc(listTrust, e.updateMembers)
	go e.runPeriodically(markSweepInterval, e.dropMarks)
	go e.runPeriodically(markSweepInterval, e.dropVerdicts)
	go e.runPeriodically(memoryInterval, e.memory.settle)
	go e.runPeriodically(retryShareInterval, func() { e.components.Gateway.SetRetryBounds(e.retryShare()) })
	w := &watchdog{log: log, check: e.checkLocks, stuckAfter: stuckAfter, resumeTime: resumeTime}
	go w.run(watchInterval, e.closed)
	log.Emit(event.GatewayStarted{Callers: settings.Callers, Peers: settings.Peers, Metrics: settings.Metrics})
	return e, nil
}

// reloadableSettings are the settings that can change at run time, besides those
// applied to the Go runtime.
type reloadableSettings struct {
	grace   time.Duration
	retries config.Retries
}

// Reload applies the settings that can change at run time: the memory and core
// limits, the grace period, and the ratio and allowance of the retry budget.
// Addresses and names are fixed for the lifetime of the process.
func (v *VM) Reload(settings config.Settings) {
	v.applyReloadable(settings)
	v.components.Gateway.SetRetryBounds(v.retryShare())
}

func (v *VM) applyReloadable(settings config.Settings) {
	limitRuntime(settings.Limits)
	v.memory.apply(settings.Limits)
	v.reloadable.Store(&reloadableSettings{settings.Grace, settings.Retries})
}

// limitRuntime sets the Go runtime's processor count and soft memory limit; a
// limit that is not positive leaves the current value.
func limitRuntime(m config.Limits) {
	if m.Cores > 0 {
		runtime.GOMAXPROCS(m.Cores)
	}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(m.MemoryMB) * megabyte * heapFraction))
	}
}

func (v *VM) constructors() []any {
	return []any{
		metrics.New,
		func() peer.Identity { return peer.Identity{VM: v.settings.VM, Incarnation: time.Now().UnixNano()} },
		peer.NewMux,
		v.newPeers,
		func() *coordination.LocalDispatcher {
			cfg := dispatch.DefaultConfig()
			cfg.LearnCosts, cfg.FairShares = v.settings.Placement.LearnCosts, v.settings.Placement.FairShares
			if v.settings.Placement.PreferNear {
				cfg.RemotePenalty = dispatch.NearRemotePenalty
			}
			return coordination.NewLocalDispatcher(cfg, quarantine.DefaultConfig())
		},
		v.newCoordinator,
		func(l *coordination.LocalDispatcher) *registry {
			return newRegistry(v.platform.Decoder, v.log, l, v.settings.Heartbeat, v.announceLeaving)
		},
		func(l *coordination.LocalDispatcher, r *registry) *tables {
			return newTables(v.platform.Decoder, v.log, l, r.setEvacuated)
		},
		func(m *metrics.Metrics) *metrics.Traffic { return metrics.NewTraffic(m.Registry) },
		func(p *peer.Client) *relay.Client { return relay.NewClient(p, v.settings.FailureDomain) },
		v.newTransport,
		func(r *registry, u *upstream.Transport, mux *peer.Mux) *relay.Server {
			return relay.NewServer(r, u, mux, v.log)
		},
		v.newTickets,
		func() *freshness { return &freshness{log: v.log, copies: v.copies} },
		v.newGateway,
	}
}

func (v *VM) newPeers(self peer.Identity, mux *peer.Mux, m *metrics.Metrics) (*peer.Client, error) {
	return peer.NewClient(v.peerConfig(self), mux, v.log, m.Registry)
}

func (v *VM) peerConfig(self peer.Identity) peer.Config {
	return peer.Config{Self: self, Keys: []string{peerKey}, FailureDomain: v.settings.FailureDomain, DomainOf: v.domainOf}
}

// domainOf returns the failure domain of another VM; empty while it is not known.
func (v *VM) domainOf(vm string) string {
	if !v.hasJoined() {
		return ""
	}
	return v.members.service.FailureDomain(vm)
}

func (v *VM) newCoordinator(self peer.Identity, l *coordination.LocalDispatcher, peers *peer.Client, mux *peer.Mux) *coordination.Coordinator {
	return coordination.New(self.VM, l, peers, mux, v.log, v.announceVerdict)
}

func (v *VM) newTransport(m *metrics.Metrics, traffic *metrics.Traffic, relays *relay.Client) *upstream.Transport {
	return upstream.New(upstream.Config{
		FailureDomain: v.settings.FailureDomain, Opened: m.Counter("upstream.connections"), Traffic: traffic,
		Relay: relays, Log: v.log, Memory: v.memory.Budget,
	})
}

func (v *VM) newTickets(u *upstream.Transport, r *registry) *ticket.Reserver {
	return ticket.NewReserver(ticket.Config{
		Encoder:   v.platform.MemoryEncoder,
		Transport: u,
		Log:       v.log,
		MaxIdle:   v.settings.Reservations.ReleaseWithin,
		MaxHold:   v.settings.Reservations.MaxHold,
		Observe: func(request ticket.Request, status int, h http.Header) {
			r.Observed(directory.Incarnation{ID: request.Endpoint, Started: request.Started}, v.platform.Headers.DecodeResponse(status, h))
		},
		Match: func(h http.Header) upstream.Match {
			if v.platform.Headers.DecodeResponse(0, h).ID != "" {
				// The response belongs to a caller's request.
				return upstream.Other
			}
			return upstream.Own
		},
	})
}

func (v *VM) newGateway(c *coordination.Coordinator, r *registry, t *tables, u *upstream.Transport, reserver *ticket.Reserver, f *freshness, m *metrics.Metrics) *gateway.Gateway {
	return gateway.New(gateway.Config{
		VM:             v.settings.VM,
		FailureDomain:  v.settings.FailureDomain,
		Tables:         t,
		Directory:      r,
		Freshness:      f,
		Placer:         c,
		Headers:        v.platform.Headers,
		Transport:      u,
		Tickets:        reserver,
		Memory:         v.memory.Budget,
		Log:            v.log,
		Metrics:        m,
		NewRetryBudget: v.newRetryWindow,
		HedgeSilent:    v.settings.Placement.HedgeSilent,
		Random:         rand.Float64,
	})
}

func (v *VM) newRetryWindow() *retry.Window {
	share := v.retryShare()
	return retry.NewWindow(v.reloadable.Load().retries.Window, share.Ratio, share.Allowance)
}

// retryShare returns this VM's share of the retry budget of all VMs. As long as it has not
// learned which VMs there are, it counts as just started.
func (v *VM) retryShare() retry.Bounds {
	vms, age := v.listed.count(), time.Since(v.started)
	if v.hasJoined() {
		vms = max(vms, len(v.members.service.Live()))
	}
	vms, known := v.population.observe(vms, v.listed.everRead())
	if !known {
		age = 0
	}
	return v.reloadable.Load().retries.Share(vms, age)
}

// population is a retry.Population that is safe for concurrent use.
type population struct {
	mu  sync.Mutex
	vms retry.Population
	// known is set once the VM has known another one, or has read the list of the VMs.
	known bool
}

// observe returns the number of VMs to assume, and whether this VM has ever learned which ones
// there are: it may be the only one that is left, or be leaving itself.
func (p *population) observe(vms int, listed bool) (count int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = p.known || listed || vms > 1
	return p.vms.Observe(time.Now(), vms), p.known
}

// runPeriodically runs the task at each interval until Close.
func (v *VM) runPeriodically(interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-v.closed:
			return
		case <-ticker.C:
			task()
		}
	}
}

func (v *VM) startFollowers() {
	p := v.components
	withCause(causeMirror, func() {
		v.configuration = mirror.Start(provider.Configuration, p.Tables, v.platform.Store, p.Peers, v.watchers, v.log, v.members.registerAgain)
		v.endpoints = mirror.Start(provider.Endpoints, p.Registry, v.platform.Store, p.Peers, v.watchers, v.log, v.members.registerAgain)
	})
	mirror.RegisterHandler(p.Mux, v.configuration, v.endpoints)
}

// ready reports whether this VM accepts requests: it has a configuration and the
// list of endpoints, and is not stopping.
func (v *VM) ready() bool {
	select {
	case <-v.stopping:
		return false
	default:
	}
	return v.components.Tables.Current() != nil && v.components.Registry.ready()
}

// Stop drains the VM, by the times of a shutdown.Plan. Readiness checks fail immediately, while
// requests are served until the balancer has taken the VM out of rotation. Requests that wait for a
// placement are refused once they can't end before the VM exits. No further requests are
// relayed for other VMs. Stop returns when no request is in flight, or when the process must exit.
func (v *VM) Stop() {
	grace := v.reloadable.Load().grace
	plan := shutdown.NewPlan(time.Now(), grace)
	defer v.watchStop(plan.Exit)()
	v.log.Emit(event.GatewayStopping{InFlight: v.components.Gateway.InFlight(), Grace: grace})
	close(v.stopping)
	v.components.RelayServer.Stop()
	v.components.Gateway.Stop(plan)
	// The other VMs take over this one's services before the jobs that wait are submitted
	// again.
	v.members.announceLeave()
	v.components.Coordinator.Stop(plan.Answer)
	go v.members.removeOwnRow()
	time.Sleep(time.Until(plan.Unready))
	v.callerServer.drain(plan.Exit)
	v.components.RelayServer.Drain(plan.Exit)
	broken, unfinished := v.components.Gateway.EndedByExit()
	v.log.Emit(event.GatewayStopped{
		Cut:        broken + v.components.Gateway.InFlight() + v.components.RelayServer.InFlight(),
		Unfinished: unfinished,
	})
}

func (v *VM) closeServers() {
	v.callerServer.close()
	v.balancerServer.close()
	v.metricsServer.close()
}

// Close stops all servers and background tasks without draining.
func (v *VM) Close() {
	close(v.closed)
	v.configuration.Stop()
	v.endpoints.Stop()
	v.closeServers()
	v.components.Registry.stop()
	v.members.stop()
	v.components.Transport.Close()
}
