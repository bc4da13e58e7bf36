// Package node builds the components of one entry VM by dependency injection with
// dig, starts them and shuts them down.
package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"

	corequota "cornelsaddle.example/cornelsaddle/core/quota"
	"cornelsaddle.example/cornelsaddle/internal/api"
	"cornelsaddle.example/cornelsaddle/internal/call"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/endpointlimit"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/health"
	"cornelsaddle.example/cornelsaddle/internal/lease"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/orders"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
	"cornelsaddle.example/cornelsaddle/internal/quota"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// recordTimeout bounds the wait for the outcomes of calls to be recorded, which
// takes long while the store is down.
const recordTimeout = 20 * time.Second

// Node is one running entry VM.
type Node struct {
	settings     settings.Settings
	log          *event.Logger
	components   components
	callers      *listener
	admin        *listener
	peers        *peer.Server
	members      *member.Service
	noticeSender *noticeSender
	cleaner      *endpointCleaner
	lifecycle    *lifecycle
	startTime    time.Time
	// running are the started components, in the order of their start.
	running []component
}

// components are the objects that dig builds.
type components struct {
	dig.In
	API                *api.API
	Follower           *confsync.Follower
	Fleet              *fleet.Fleet
	Quota              *quota.Limiter
	Metrics            *metrics.Metrics
	Store              *platform.Client
	StreamClient       *endpoint.Client
	EndpointCaller     *endpoint.Caller
	Calls              *call.Runner
	Leases             *lease.Manager
	Orders             *orders.Manager
	CallSweeper        *call.Sweeper
	Prompts            *prompt.Runner
	ReservationHolder  *reserve.Holder
	ReservationSweeper *reserve.Sweeper
	Mux                *peer.Mux
	Peers              *peer.Client
	Identity           peer.Identity
	Health             *health.Health
	MemberView         *memberView
	Limits             *endpointlimit.Limiter
	Guard              *crashguard.Guard
}

// Start builds and starts the VM. It returns an error if a component can't be
// built or an address can't be listened on.
func Start(s settings.Settings, log *event.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, startTime: time.Now()}
	c := dig.New()
	for _, constructor := range n.constructors() {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if err := c.Invoke(func(p components) { n.components = p }); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := n.start(); err != nil {
		n.Close()
		return nil, err
	}
	log.Emit(event.Started{Callers: n.callers.addr(), Admin: n.admin.addr(), Peers: n.peers.Addr()})
	return n, nil
}

// start starts the listeners and the background components. The peers' listener and
// the membership start before the callers' listener.
func (n *Node) start() error {
	n.lifecycle = &lifecycle{
		log:           n.log,
		drainGrace:    n.settings.Callers.DrainGrace(),
		notifyPeers:   func() { n.members.Leave() },
		refuseNew:     n.components.API.StartDraining,
		awaitRequests: n.awaitRequests,
		inFlightCount: n.components.API.InFlight,
	}
	n.AddHandOver(HandOver{"leases", n.components.Leases.Release})
	if err := n.lifecycle.start(); err != nil {
		return err
	}
	if err := n.listenPeers(); err != nil {
		return err
	}
	n.startMembership()
	n.components.Calls.SetLiveness(n.components.MemberView)
	n.components.Leases.SetMembers(n.components.MemberView.liveIDs)
	n.components.Calls.SetHealth(n.components.Health)
	n.setLimits()
	n.components.Orders.AddLeases(call.SweepLease)
	for _, c := range []component{
		n.components.Fleet, n.components.Quota, n.components.Leases, n.components.Orders,
		n.components.CallSweeper, n.components.ReservationHolder, n.components.ReservationSweeper,
	} {
		n.startComponent(c)
	}
	return n.listen()
}

// component is a background process that runs from Start until Stop.
type component interface {
	Start()
	Stop()
}

// startComponent starts the component and registers it to be stopped by Close.
func (n *Node) startComponent(c component) {
	c.Start()
	n.running = append(n.running, c)
}

// awaitRequests waits for the in-flight requests, and then up to recordTimeout for
// the outcomes of their calls to be recorded.
func (n *Node) awaitRequests() {
	n.components.API.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_ = n.components.Calls.Drain(ctx)
}

func (n *Node) constructors() []any {
	return []any{
		func() settings.Settings { return n.settings },
		func() *event.Logger { return n.log },
		newStore,
		newFollower,
		n.identity,
		peer.NewMux,
		newPeerConfig,
		newPeerClient,
		health.New,
		fleet.New,
		endpoint.New,
		endpoint.NewCaller,
		metrics.New,
		prompt.DefaultConfig,
		newPrompts,
		reserve.DefaultConfig,
		newMemberView,
		newLimiter,
		newGuard,
		func(v *memberView) reserve.Members { return v },
		newCoordinator,
		newHolder,
		newSweeper,
		call.NewRunner,
		lease.New,
		newCallSweeper,
		orders.New,
		newQuota,
		newGate,
		api.New,
	}
}

// setLimits connects what sends requests to endpoints with the limits that these name, and
// with the guard that withholds requests.
func (n *Node) setLimits() {
	l := n.components.Limits
	n.components.StreamClient.SetLimits(l)
	n.components.EndpointCaller.SetLimits(l)
	n.components.Calls.SetLimits(l)
	n.components.Prompts.SetLimits(l)
	n.components.Calls.SetGuard(n.components.Guard)
	n.components.Prompts.SetGuard(n.components.Guard)
}

func newLimiter(self peer.Identity, view *memberView, peers *peer.Client, mux *peer.Mux, log *event.Logger) *endpointlimit.Limiter {
	return endpointlimit.New(self.VM, view, peers, mux, log)
}

func newGuard(self peer.Identity, view *memberView, peers *peer.Client, mux *peer.Mux, log *event.Logger) *crashguard.Guard {
	return crashguard.New(self.VM, view, peers, mux, log)
}

func newCallSweeper(runner *call.Runner, leases *lease.Manager) *call.Sweeper {
	return call.NewSweeper(runner, leases)
}

func newStore(s settings.Settings) *platform.Client {
	return platform.New(s.Platform.Address, s.Platform.Timeout())
}

func newPrompts(cfg prompt.Config, f *fleet.Fleet, streams *endpoint.Client, caller *endpoint.Caller, h *reserve.Holder, log *event.Logger, m *metrics.Metrics) *prompt.Runner {
	return prompt.NewRunner(cfg, f, streams, caller, h, log, m)
}

func newQuota(self peer.Identity, store *platform.Client, follower *confsync.Follower, log *event.Logger) *quota.Limiter {
	holder := corequota.Holder{VM: self.VM, Incarnation: self.Incarnation}
	return quota.New(corequota.DefaultConfig(), holder, store, follower, log)
}

func newGate(f *fleet.Fleet, k *quota.Limiter) api.Gate { return api.NewPromptGate(f, k) }

func newCoordinator(cfg reserve.Config, caller *endpoint.Caller, mux *peer.Mux) *reserve.Coordinator {
	return reserve.NewCoordinator(cfg, caller, mux)
}

func newHolder(cfg reserve.Config, self peer.Identity, coordinator *reserve.Coordinator, peers *peer.Client, members reserve.Members, mux *peer.Mux) *reserve.Holder {
	return reserve.NewHolder(cfg, self, coordinator, peers, members, mux)
}

func newSweeper(h *reserve.Holder, f *confsync.Follower, log *event.Logger) *reserve.Sweeper {
	return reserve.NewSweeper(h, f.Current, log)
}

func newFollower(store *platform.Client, log *event.Logger, s settings.Settings) *confsync.Follower {
	return confsync.New(store, log, s.Platform.Poll())
}

func (n *Node) identity() peer.Identity {
	return peer.Identity{VM: n.settings.VM.ID, Incarnation: n.startTime.UnixNano()}
}

func newPeerConfig(self peer.Identity, s settings.Settings) peer.Config {
	return peer.Config{Self: self, Keys: s.Peers.Keys}
}

func newPeerClient(cfg peer.Config, mux *peer.Mux, log *event.Logger, m *metrics.Metrics) (*peer.Client, error) {
	return peer.NewClient(cfg, mux, log, m.Registry)
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = n.serveCallers(); err != nil {
		return err
	}
	n.admin, err = serveAdmin(n.settings.Admin.Address, n.adminServer())
	return err
}

func (n *Node) listenPeers() error {
	var err error
	cfg := newPeerConfig(n.components.Identity, n.settings)
	n.peers, err = peer.Listen(n.settings.Peers.Address, cfg, n.components.Mux, n.log, n.components.Metrics.Registry)
	return err
}

// configurationVersion returns the version in force, zero for none.
func (n *Node) configurationVersion() int64 {
	if snap := n.components.Follower.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// CallersAddr returns the address of the callers' listener.
func (n *Node) CallersAddr() string { return n.callers.addr() }

// AdminAddr returns the address of the admin listener.
func (n *Node) AdminAddr() string { return n.admin.addr() }

// PeersAddr returns the address of the peers' listener.
func (n *Node) PeersAddr() string { return n.peers.Addr() }

// Close stops the VM: first the callers' and the admin listener, then the
// components in the reverse order of their start, then the membership, the peers'
// listener and the clients.
func (n *Node) Close() {
	n.callers.close()
	n.admin.close()
	for _, c := range slices.Backward(n.running) {
		c.Stop()
	}
	if n.members != nil {
		n.cleaner.stop()
		n.noticeSender.stop()
		n.members.Stop()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	n.components.Peers.Close()
	n.components.Prompts.Close()
	n.components.Guard.Stop()
	n.components.StreamClient.Close()
	n.components.EndpointCaller.Close()
	n.components.Store.Close()
	n.log.Emit(event.Stopped{Cut: n.lifecycle.cut()})
}
