// Package peer is the protocol between entry VMs: JSON-RPC 2.0 over TCP.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MethodPing asks a VM who it is.
const MethodPing = "ping"

// Pong answers a ping.
type Pong struct {
	VM            string `json:"vm"`
	Incarnation   int64  `json:"incarnation"`
	Configuration int64  `json:"configuration"`
}

// Handler answers peers' requests.
type Handler interface {
	Ping() Pong
}

// Server listens for peers.
type Server struct {
	handler  Handler
	listener net.Listener
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	done     chan struct{}
}

// Listen serves peers on the address, IP and port, until Close.
func Listen(address string, handler Handler) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Server{handler: handler, listener: l, conns: make(map[*jsonrpc2.Conn]struct{}), done: make(chan struct{})}
	go s.accept()
	return s, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	defer close(s.done)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	stream := jsonrpc2.NewPlainObjectStream(conn)
	c := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(s.handle))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-c.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method != MethodPing {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	return s.handler.Ping(), nil
}

// Ping asks the VM at the address who it is.
func Ping(ctx context.Context, address string) (Pong, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Pong{}, errors.WithStack(err)
	}
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(nil))
	defer func() { _ = c.Close() }()
	var pong Pong
	return pong, errors.WithStack(c.Call(ctx, MethodPing, json.RawMessage("{}"), &pong))
}
