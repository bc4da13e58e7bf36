// Package node wires one entry VM together with dig, starts it and shuts it
// down.
package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"cornelsaddle.example/cornelsaddle/internal/api"
	"cornelsaddle.example/cornelsaddle/internal/call"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/lease"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/orders"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// releaseLimit bounds the hand-over of leases; it is about as long as they take
// to run out.
const releaseLimit = 15 * time.Second

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
	Calls    *call.Runner
	Leases   *lease.Manager
	Orders   *orders.Manager
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
	n.parts.Leases.Start()
	n.parts.Orders.Start()
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
		lease.New,
		orders.New,
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
	if n.callers, err = serve(n.settings.Callers.Address, n.callerServer()); err != nil {
		return err
	}
	if n.admin, err = serve(n.settings.Admin.Address, n.adminServer()); err != nil {
		return err
	}
	n.peers, err = peer.Listen(n.settings.Peers.Address, n)
	return err
}

func (n *Node) callerServer() *fasthttp.Server {
	c := n.settings.Callers
	return &fasthttp.Server{
		Handler:               n.parts.API.Handler(),
		MaxRequestBodySize:    c.MaxBodyBytes,
		Concurrency:           c.MaxConnections,
		IdleTimeout:           time.Duration(c.IdleTimeoutMs) * time.Millisecond,
		ReadTimeout:           time.Duration(c.ReadTimeoutMs) * time.Millisecond,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
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
func (n *Node) Drain() {
	released := make(chan struct{})
	go func() {
		defer close(released)
		n.releaseLeases()
	}()
	n.parts.API.Drain()
	<-released
	ctx, cancel := context.WithTimeout(context.Background(), recordLimit)
	defer cancel()
	_ = n.parts.Calls.Drain(ctx)
}

// releaseLeases hands over this VM's leases, or lets them run out.
func (n *Node) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	_ = n.parts.Leases.Release(ctx)
}

// Close stops the VM.
func (n *Node) Close() {
	n.callers.close()
	n.admin.close()
	if n.peers != nil {
		n.peers.Close()
	}
	n.parts.Orders.Stop()
	n.parts.Leases.Stop()
	n.parts.Fleet.Stop()
	n.parts.Follower.Stop()
	n.parts.Streams.Close()
	n.parts.Caller.Close()
	n.parts.Store.Close()
	n.log.Emit(event.Stopped{})
}

// listener is a running fasthttp server.
type listener struct {
	net.Listener
	server *fasthttp.Server
	done   chan struct{}
}

func serve(address string, server *fasthttp.Server) (*listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &listener{Listener: l, server: server, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = server.Serve(l)
	}()
	return s, nil
}

func (l *listener) addr() string { return l.Addr().String() }

// close stops the server; it may be called on nil.
func (l *listener) close() {
	if l == nil {
		return
	}
	_ = l.server.Shutdown()
	<-l.done
}
