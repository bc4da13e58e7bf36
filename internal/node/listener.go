package node

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/api"
)

// Limits of the operators' listener.
const (
	adminReadTimeout    = 10 * time.Second
	adminWriteTimeout   = 30 * time.Second
	adminIdleTimeout    = 60 * time.Second
	adminMaxConnections = 256
	adminMaxBodyBytes   = 1 << 20
)

// listener is a running fasthttp server.
type listener struct {
	net.Listener
	server *fasthttp.Server
	done   chan struct{}
}

// serve serves operators on the address until close.
func serve(address string, server *fasthttp.Server) (*listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	server.ErrorHandler = api.UnreadableRequest
	server.ReadTimeout = adminReadTimeout
	server.WriteTimeout = adminWriteTimeout
	server.IdleTimeout = adminIdleTimeout
	server.Concurrency = adminMaxConnections
	server.MaxRequestBodySize = adminMaxBodyBytes
	return serveListener(l, server), nil
}

func serveListener(l net.Listener, server *fasthttp.Server) *listener {
	server.NoDefaultServerHeader = true
	server.CloseOnShutdown = true
	server.SecureErrorLogMessage = true
	server.Logger = silent{}
	s := &listener{Listener: l, server: server, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = server.Serve(l)
	}()
	return s
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

// silent drops the HTTP library's own log lines: they are no events, and may
// quote a request.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// refuseStranger answers an operator without the token.
func refuseStranger(ctx *fasthttp.RequestCtx) {
	api.Refuse(ctx, errcode.New(errcode.Unauthorized, "the operators' token is required"))
}

// refuseUnknownPath answers a path that operators do not have.
func refuseUnknownPath(ctx *fasthttp.RequestCtx) {
	api.Refuse(ctx, errcode.New(errcode.UnknownRoute, "no such path"))
}

// serveCallers serves callers within the settings' limits.
func (n *Node) serveCallers() (*listener, error) {
	c := n.settings.Callers
	l, err := net.Listen("tcp4", c.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	limited := &callerListener{
		Listener:     l,
		max:          int64(c.MaxConnections),
		writeTimeout: c.WriteTimeout(),
		refusal:      api.TooManyConnections,
	}
	server := &fasthttp.Server{
		Handler:            n.parts.API.Handler(),
		ErrorHandler:       n.parts.API.HandleError,
		MaxRequestBodySize: c.MaxBodyBytes,
		ReadBufferSize:     c.MaxHeaderBytes,
		IdleTimeout:        c.IdleTimeout(),
		ReadTimeout:        c.ReadTimeout(),
		// Idle connections hold no buffers.
		ReduceMemoryUsage: true,
	}
	if c.MaxConnections > 0 {
		// The limit is the listener's, whose refusal is typed.
		server.Concurrency = c.MaxConnections + 1
	}
	return serveListener(limited, server), nil
}
