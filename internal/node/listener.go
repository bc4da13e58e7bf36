package node

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/api"
)

// Limits of the admin listener.
const (
	adminReadTimeout    = 10 * time.Second
	adminWriteTimeout   = 30 * time.Second
	adminIdleTimeout    = 60 * time.Second
	adminMaxConnections = 256
	adminMaxBodyBytes   = 1 << 20
)

// listener is a running fasthttp server. done is closed when it has stopped.
type listener struct {
	net.Listener
	server *fasthttp.Server
	done   chan struct{}
}

// serveAdmin listens on the address and serves operators there until close is
// called. It returns an error if it can't listen.
func serveAdmin(address string, server *fasthttp.Server) (*listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	server.ErrorHandler = api.WriteReadError
	server.ReadTimeout = adminReadTimeout
	server.WriteTimeout = adminWriteTimeout
	server.IdleTimeout = adminIdleTimeout
	server.Concurrency = adminMaxConnections
	server.MaxRequestBodySize = adminMaxBodyBytes
	return startServer(l, server), nil
}

func startServer(l net.Listener, server *fasthttp.Server) *listener {
	server.NoDefaultServerHeader = true
	server.CloseOnShutdown = true
	server.SecureErrorLogMessage = true
	server.Logger = discardLogger{}
	s := &listener{Listener: l, server: server, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = server.Serve(l)
	}()
	return s
}

func (l *listener) addr() string { return l.Addr().String() }

// close shuts the server down and waits until it has stopped, and until no caller's connection
// lingers: the end of the process would reset those whose callers still receive. It does nothing on
// a nil listener.
func (l *listener) close() {
	if l == nil {
		return
	}
	_ = l.server.Shutdown()
	<-l.done
	if callers, ok := l.Listener.(*callerListener); ok {
		callers.awaitClosed()
	}
}

// discardLogger discards the log lines of fasthttp: they are not structured events
// and may contain parts of a request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// writeUnauthorised writes the response to a request without the admin token.
func writeUnauthorised(ctx *fasthttp.RequestCtx) {
	api.WriteFailure(ctx, errcode.New(errcode.Unauthorized, "the operators' token is required"))
}

// writeUnknownPath writes the response to a path that the admin listener does not
// serve.
func writeUnknownPath(ctx *fasthttp.RequestCtx) {
	api.WriteFailure(ctx, errcode.New(errcode.UnknownRoute, "no such path"))
}

// serveCallers listens on the callers' address and serves them within the limits
// of the settings. It returns an error if it can't listen.
func (n *Node) serveCallers() (*listener, error) {
	c := n.settings.Callers
	l, err := net.Listen("tcp4", c.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	limited := &callerListener{
		Listener:        l,
		maxOpen:         int64(c.MaxConnections),
		writeTimeout:    c.WriteTimeout(),
		refusalResponse: api.TooManyConnectionsResponse,
	}
	server := &fasthttp.Server{
		Handler:            n.components.API.Handler(),
		ErrorHandler:       n.components.API.HandleError,
		MaxRequestBodySize: c.MaxBodyBytes,
		ReadBufferSize:     c.MaxHeaderBytes,
		IdleTimeout:        c.IdleTimeout(),
		ReadTimeout:        c.ReadTimeout(),
		// Frees the buffers of idle connections.
		ReduceMemoryUsage: true,
	}
	if c.MaxConnections > 0 {
		// callerListener enforces the limit and sends a typed error response, so
		// the server's own limit must not be reached first.
		server.Concurrency = c.MaxConnections + 1
	}
	return startServer(limited, server), nil
}
