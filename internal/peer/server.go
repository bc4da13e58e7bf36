package peer

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// maxConcurrent bounds the requests of one connection that run at once; the
// next ones wait on the connection.
const maxConcurrent = 64

// Server answers peers.
type Server struct {
	*end
	listener net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	conns    map[net.Conn]struct{}
}

// Listen serves peers on the address, IP and port, until Close.
func Listen(address string, cfg Config, mux *Mux, log *event.Logger, registry metrics.Registry) (*Server, error) {
	if len(cfg.Keys) == 0 {
		return nil, errors.WithStack(&KeysError{})
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{end: newEnd(cfg, mux, log, registry), listener: l, cancel: cancel, conns: make(map[net.Conn]struct{})}
	s.wg.Go(func() { s.accept(ctx) })
	return s, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends all connections and waits for their requests.
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
			s.reject(conn.RemoteAddr().String(), ReasonTooMany)
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.remove(conn)
			s.serve(ctx, conn)
		})
	}
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

// serve answers one connection until it ends.
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
	slots := make(chan struct{}, maxConcurrent)
	var running requests
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return s.mux.serve(ctx, sess.peer, req)
	})
	out := &stream{conn: conn, r: r, session: sess, limit: s.cfg.MaxMessageBytes, counters: s.counters, reject: func(reason Reason) { s.reject(address, reason) }}
	c := jsonrpc2.NewConn(ctx, out, concurrent{handler, slots, &running}, jsonrpc2.SetLogger(silent{}))
	<-c.DisconnectNotify()
	running.end()
}

// concurrent runs requests beside each other, in a bounded number.
type concurrent struct {
	next    jsonrpc2.Handler
	slots   chan struct{}
	running *requests
}

// requests are those of one connection that are being answered.
type requests struct {
	mu    sync.Mutex
	ended bool
	wg    sync.WaitGroup
}

// run answers a request beside the others. The library may still hand one on
// while the connection ends; it is dropped.
func (r *requests) run(answer func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.wg.Go(answer)
	return true
}

// end takes no more requests and waits for those that are being answered.
func (r *requests) end() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.wg.Wait()
}

// Handle implements jsonrpc2.Handler.
func (h concurrent) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.slots <- struct{}{}
	taken := h.running.run(func() {
		defer func() { <-h.slots }()
		h.next.Handle(ctx, conn, req)
	})
	if !taken {
		<-h.slots
	}
}

// silent drops the library's own log lines.
type silent struct{}

// Printf implements jsonrpc2.Logger.
func (silent) Printf(string, ...any) {}
