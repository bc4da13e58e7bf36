// Package node wires one entry VM together with dig, starts it and shuts it
// down.
package node

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"

	"cornelsaddle.example/cornelsaddle/internal/api"
	"cornelsaddle.example/cornelsaddle/internal/call"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// Node is one running entry VM.
type Node struct {
	settings settings.Settings
	log      *event.Logger
	parts    parts
	callers  *listener
	admin    *listener
	peers    *peer.Server
	started  time.Time
}

// parts is what dig puts together.
type parts struct {
	dig.In
	API      *api.API
	Follower *confsync.Follower
	Fleet    *fleet.Fleet
	Metrics  *metrics.Metrics
	Store    *platform.Client
	Streams  *endpoint.Client
	Caller   *endpoint.Caller
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
	n.parts.Follower.Start()
	n.parts.Fleet.Start()
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	log.Emit(event.Started{Callers: n.callers.addr(), Admin: n.admin.addr(), Peers: n.peers.Addr()})
	return n, nil
}

func (n *Node) constructors() []any {
	return []any{
		func() settings.Settings { return n.settings },
		func() *event.Logger { return n.log },
		newStore,
		newFollower,
		fleet.New,
		endpoint.New,
		endpoint.NewCaller,
		metrics.New,
		prompt.NewRunner,
		call.NewRunner,
		api.New,
	}
}

func newStore(s settings.Settings) *platform.Client {
	return platform.New(s.Platform.Address, s.Platform.Timeout())
}

func newFollower(store *platform.Client, log *event.Logger, s settings.Settings) *confsync.Follower {
	return confsync.New(store, log, s.Platform.Poll())
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = n.serveCallers(); err != nil {
		return err
	}
	if n.admin, err = serve(n.settings.Admin.Address, n.adminServer()); err != nil {
		return err
	}
	n.peers, err = peer.Listen(n.settings.Peers.Address, n)
	return err
}

// Ping implements peer.Handler.
func (n *Node) Ping() peer.Pong {
	pong := peer.Pong{VM: n.settings.VM.ID, Incarnation: n.started.UnixNano()}
	if snap := n.parts.Follower.Current(); snap != nil {
		pong.Configuration = snap.Version
	}
	return pong
}

// Callers is the address of the callers' listener.
func (n *Node) Callers() string { return n.callers.addr() }

// Admin is the address of the operators' listener.
func (n *Node) Admin() string { return n.admin.addr() }

// Drain takes no new requests and waits for those in flight.
func (n *Node) Drain() { n.parts.API.Drain() }

// Close stops the VM.
func (n *Node) Close() {
	n.callers.close()
	n.admin.close()
	if n.peers != nil {
		n.peers.Close()
	}
	n.parts.Fleet.Stop()
	n.parts.Follower.Stop()
	n.parts.Streams.Close()
	n.parts.Caller.Close()
	n.parts.Store.Close()
	n.log.Emit(event.Stopped{})
}
