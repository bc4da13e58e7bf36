package peer

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// maxConcurrentRequests bounds the requests of one connection that are handled at
// the same time. At the bound the next request waits, and nothing more is read
// from the connection, until one completes.
const maxConcurrentRequests = 64

// Server serves requests of peers.
type Server struct {
	*shared
	listener net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	conns    map[net.Conn]struct{}
}

// Listen starts a server on the address, an IPv4 address and port, that serves
// peers until Close. It returns a KeysError if the configuration has no key.
func Listen(address string, cfg Config, mux *Mux, log *event.Logger, registry metrics.Registry) (*Server, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.WithStack(&KeysError{})
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{shared: newShared(cfg, mux, log, registry), listener: l, cancel: cancel, conns: make(map[net.Conn]struct{})}
	s.wg.Go(func() { s.accept(ctx) })
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, cancels the context of their
// requests and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.cancel()
	s.wg.Wait()
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			s.refuse(conn)
			continue
		}
		s.wg.Go(func() {
			defer s.remove(conn)
			s.serve(ctx, conn)
		})
	}
}

// refuse closes a connection above the limit, or one that was accepted while the server
// closes, which is no rejection.
func (s *Server) refuse(conn net.Conn) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if !closed {
		s.reject(conn.RemoteAddr().String(), ReasonTooMany)
	}
	_ = conn.Close()
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serve performs the handshake and handles the requests of one connection until
// it closes.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	address := conn.RemoteAddr().String()
	r := bufio.NewReader(conn)
	sess, err := s.handshaker().accept(conn, r)
	if err != nil {
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			s.reject(address, rejected.Reason)
		}
		return
	}
	out := &stream{conn: conn, r: r, session: sess, maxBytes: s.cfg.MaxMessageBytes, counters: s.counters, meter: s.newMeter(sess.peer.VM), reject: func(reason Reason) { s.reject(address, reason) }}
	if sess.upgrade {
		s.serveUpgrade(ctx, out)
		return
	}
	slots := make(chan struct{}, maxConcurrentRequests)
	var inFlight inFlightRequests
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return s.serveRequest(ctx, sess.peer, req)
	})
	c := jsonrpc2.NewConn(ctx, out, concurrentHandler{handler, slots, &inFlight}, out.meter.options()...)
	<-c.DisconnectNotify()
	inFlight.drain()
}

// serveRequest handles one request. A handler that panics, on a message that it does
// not expect, fails the request.
func (s *Server) serveRequest(ctx context.Context, from Identity, req *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.log.Emit(event.NewHandlerPanicked(req.Method, "", recovered))
			result, err = nil, encodeError(errcode.New(errcode.Internal, "the handler of %s failed", req.Method))
		}
	}()
	return s.mux.serve(ctx, from, req)
}

// concurrentHandler handles the requests of one connection concurrently, at most
// cap(slots) at a time.
type concurrentHandler struct {
	next     jsonrpc2.Handler
	slots    chan struct{}
	inFlight *inFlightRequests
}

// inFlightRequests tracks the requests of one connection that are being handled.
type inFlightRequests struct {
	mu       sync.Mutex
	draining bool
	wg       sync.WaitGroup
}

// start runs handle in a new goroutine and reports whether it did. The JSON-RPC
// library may still deliver a request while the connection is closing; start
// drops it.
func (r *inFlightRequests) start(handle func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.wg.Go(handle)
	return true
}

// drain stops accepting requests and waits for those in flight.
func (r *inFlightRequests) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.wg.Wait()
}

// Handle implements jsonrpc2.Handler.
func (h concurrentHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.slots <- struct{}{}
	started := h.inFlight.start(func() {
		defer func() { <-h.slots }()
		h.next.Handle(ctx, conn, req)
	})
	if !started {
		<-h.slots
	}
}

// discardLogger discards the log lines of the JSON-RPC library.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
