// Package httpjson is the common part of the stand-ins' HTTP servers: a server
// that listens on a TCP address, and JSON request and response bodies.
package httpjson

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the largest request body that a server accepts.
const maxBodyBytes = 64 << 20

// shutdownTimeout bounds the time for which Close waits for open connections.
const shutdownTimeout = 2 * time.Second

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Read decodes the request body from JSON into v. If that fails, it answers 400
// and returns false.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Write answers with the status and v as JSON, or with 500 if v can't be encoded.
func Write(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(data)
}

// WriteError answers with the status and an ErrorBody with the reason.
func WriteError(ctx *fasthttp.RequestCtx, status int, reason string) {
	Write(ctx, status, ErrorBody{Error: reason})
}

// Server is a running HTTP server.
type Server struct {
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}
}

// Listen starts a server for handler on the address, which is an IPv4 address and
// a port; port 0 selects a free one. The server runs until Close.
func Listen(address string, handler fasthttp.RequestHandler) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		listener: l,
		server: &fasthttp.Server{
			Handler:            handler,
			MaxRequestBodySize: maxBodyBytes,
			CloseOnShutdown:    true,
			NoDefaultDate:      true,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server. It waits for open connections, for at most
// shutdownTimeout.
func (s *Server) Close() {
	_ = s.listener.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.server.Shutdown()
	}()
	select {
	case <-stopped:
	case <-time.After(shutdownTimeout):
	}
	<-s.done
}
