// Package node wires one entry VM together with dig, starts it and shuts it
// down.
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
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
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

// recordLimit bounds the wait for outcomes of calls to be recorded while the
// store is down.
const recordLimit = 20 * time.Second

// Node is one running entry VM.
type Node struct {
	settings settings.Settings
	log      *event.Logger
	parts    parts
	callers  *listener
	admin    *listener
	peers    *peer.Server
	members  *member.Service
	notices  *notices
	keeper   *keeper
	life     *lifecycle
	started  time.Time
	// running are the parts that were started, in order.
	running []part
}

// parts is what dig puts together.
type parts struct {
	dig.In
	API      *api.API
	Follower *confsync.Follower
	Fleet    *fleet.Fleet
	Quota    *quota.Keeper
	Metrics  *metrics.Metrics
	Store    *platform.Client
	Streams  *endpoint.Client
	Caller   *endpoint.Caller
	Calls    *call.Runner
	Leases   *lease.Manager
	Orders   *orders.Manager
	CallRows *call.Sweeper
	Prompts  *prompt.Runner
	Holder   *reserve.Holder
	Sweeper  *reserve.Sweeper
	Mux      *peer.Mux
	Peers    *peer.Client
	Identity peer.Identity
	Health   *health.Health
	View     *view
}

// Start wires the VM and begins to listen.
func Start(s settings.Settings, log *event.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, started: time.Now()}
	c := dig.New()
	for _, constructor := range n.constructors() {
		if err := c.Provide(constructor); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if err := c.Invoke(func(p parts) { n.parts = p }); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := n.begin(); err != nil {
		n.Close()
		return nil, err
	}
	log.Emit(event.Started{Callers: n.callers.addr(), Admin: n.admin.addr(), Peers: n.peers.Addr()})
	return n, nil
}

// begin listens and starts what runs by itself. The VM has its peers before it
// has callers.
func (n *Node) begin() error {
	n.life = &lifecycle{
		log:      n.log,
		grace:    n.settings.Callers.DrainGrace(),
		tell:     func() { n.members.Leave() },
		refuse:   n.parts.API.Refuse,
		wait:     n.finish,
		inFlight: n.parts.API.InFlight,
	}
	n.OnHandOver(HandOver{"leases", n.parts.Leases.Release})
	if err := n.life.start(); err != nil {
		return err
	}
	if err := n.listenPeers(); err != nil {
		return err
	}
	n.join()
	n.parts.Calls.SetLiveness(n.parts.View)
	n.parts.Calls.SetHealth(n.parts.Health)
	n.parts.Orders.Also(call.SweepLease)
	for _, p := range []part{
		n.parts.Fleet, n.parts.Quota, n.parts.Leases, n.parts.Orders, n.parts.CallRows, n.parts.Holder, n.parts.Sweeper,
	} {
		n.run(p)
	}
	return n.listen()
}

// part is something that runs by itself from Start to Stop.
type part interface {
	Start()
	Stop()
}

// run starts the part; Close stops it.
func (n *Node) run(p part) {
	p.Start()
	n.running = append(n.running, p)
}

// finish waits for the requests in flight and the records of their calls.
func (n *Node) finish() {
	n.parts.API.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
	defer cancel()
	_ = n.parts.Calls.Drain(ctx)
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
		newView,
		func(v *view) reserve.Members { return v },
		newAccountant,
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

func newCallSweeper(runner *call.Runner, leases *lease.Manager) *call.Sweeper {
	return call.NewSweeper(runner, leases)
}

func newStore(s settings.Settings) *platform.Client {
	return platform.New(s.Platform.Address, s.Platform.Timeout())
}

func newPrompts(cfg prompt.Config, f *fleet.Fleet, streams *endpoint.Client, caller *endpoint.Caller, h *reserve.Holder, log *event.Logger, m *metrics.Metrics) *prompt.Runner {
	return prompt.NewRunner(cfg, f, streams, caller, h, log, m)
}

func newQuota(self peer.Identity, store *platform.Client, follower *confsync.Follower, log *event.Logger) *quota.Keeper {
	holder := corequota.Holder{VM: self.VM, Incarnation: self.Incarnation}
	return quota.New(corequota.DefaultConfig(), holder, store, follower, log)
}

func newGate(f *fleet.Fleet, k *quota.Keeper) api.Gate { return api.NewPromptGate(f, k) }

func newAccountant(cfg reserve.Config, caller *endpoint.Caller, mux *peer.Mux) *reserve.Accountant {
	return reserve.NewAccountant(cfg, caller, mux)
}

func newHolder(cfg reserve.Config, self peer.Identity, book *reserve.Accountant, peers *peer.Client, members reserve.Members, mux *peer.Mux) *reserve.Holder {
	return reserve.NewHolder(cfg, self, book, peers, members, mux)
}

func newSweeper(h *reserve.Holder, f *confsync.Follower, log *event.Logger) *reserve.Sweeper {
	return reserve.NewSweeper(h, f.Current, log)
}

func newFollower(store *platform.Client, log *event.Logger, s settings.Settings) *confsync.Follower {
	return confsync.New(store, log, s.Platform.Poll())
}

func (n *Node) identity() peer.Identity {
	return peer.Identity{VM: n.settings.VM.ID, Incarnation: n.started.UnixNano()}
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
	n.admin, err = serve(n.settings.Admin.Address, n.adminServer())
	return err
}

func (n *Node) listenPeers() error {
	var err error
	cfg := newPeerConfig(n.parts.Identity, n.settings)
	n.peers, err = peer.Listen(n.settings.Peers.Address, cfg, n.parts.Mux, n.log, n.parts.Metrics.Registry)
	return err
}

// configuration is the version in force; zero for none.
func (n *Node) configuration() int64 {
	if snap := n.parts.Follower.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// Callers is the address of the callers' listener.
func (n *Node) Callers() string { return n.callers.addr() }

// Admin is the address of the operators' listener.
func (n *Node) Admin() string { return n.admin.addr() }

// Peers is the address of the listener for the other VMs.
func (n *Node) Peers() string { return n.peers.Addr() }

// Close stops the VM.
func (n *Node) Close() {
	n.callers.close()
	n.admin.close()
	for _, p := range slices.Backward(n.running) {
		p.Stop()
	}
	if n.members != nil {
		n.keeper.stop()
		n.notices.stop()
		n.members.Stop()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	n.parts.Peers.Close()
	n.parts.Prompts.Close()
	n.parts.Streams.Close()
	n.parts.Caller.Close()
	n.parts.Store.Close()
	n.log.Emit(event.Stopped{})
}
