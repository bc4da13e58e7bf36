// Package httpjson has what the stand-ins' HTTP servers share: JSON bodies in
// and out, and a server on a loopback listener.
package httpjson

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the largest body that a stand-in reads.
const maxBodyBytes = 64 << 20

// shutdownLimit bounds Close.
const shutdownLimit = 2 * time.Second

// Failure is the body of a stand-in's refusal.
type Failure struct {
	Error string `json:"error"`
}

// Read decodes the request's body into v. On failure it answers 400 and
// returns false.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Write answers with the status and v as JSON.
func Write(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(data)
}

// Refuse answers with the status and a reason.
func Refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	Write(ctx, status, Failure{Error: reason})
}

// Server is a running HTTP server.
type Server struct {
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}
}

// Listen serves handler on the address until Close. The address is an IP and a
// port; port 0 takes a free one.
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

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.server.Shutdown()
	}()
	select {
	case <-stopped:
	case <-time.After(shutdownLimit):
	}
	<-s.done
}
