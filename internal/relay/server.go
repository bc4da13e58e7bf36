package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

const (
	// dialTimeout bounds the time to open a connection to an endpoint for another VM.
	dialTimeout = 250 * time.Millisecond
	// maxRelayed bounds the requests that are relayed at the same time.
	maxRelayed = 1024
	// drainPoll is the time between two looks at the requests in flight while the VM stops.
	drainPoll = 20 * time.Millisecond
)

// Directory is this VM's view of the endpoints.
type Directory interface {
	// Lookup returns the entry with the ID and whether it may be sent requests now.
	Lookup(id string) (directory.Entry, directory.Availability)
	// Observed records what a response says of its endpoint.
	Observed(i directory.Incarnation, r provider.ResponseHeader)
}

// Dialer opens connections to endpoints on the VM's own paths.
type Dialer interface {
	// Dial opens a connection.
	Dial(ctx context.Context, entry directory.Entry) (net.Conn, error)
	// PathLost reports whether the VM's path to the endpoint is lost.
	PathLost(entry directory.Entry) bool
}

// Server relays requests of other VMs. It is safe for concurrent use.
type Server struct {
	directory Directory
	dialer    Dialer
	log       *event.Logger

	mu       sync.Mutex
	stopping bool
	inFlight int
	total    int64
}

// NewServer returns a Server, and registers its method with the mux.
func NewServer(d Directory, dialer Dialer, mux *peer.Mux, log *event.Logger) *Server {
	s := &Server{directory: d, dialer: dialer, log: log}
	peer.RegisterUpgrade(mux, methodOpen, s.open)
	return s
}

// InFlight returns the number of requests that are relayed now, and Total that of all so far.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Total returns the number of requests relayed so far.
func (s *Server) Total() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Stop refuses further requests.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain waits until no request is in flight, or until the deadline.
func (s *Server) Drain(deadline time.Time) {
	for s.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}

// begin counts a request, and returns the refusal if it must not be relayed.
func (s *Server) begin() refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return refusedStopping
	case s.inFlight >= maxRelayed:
		return refusedFull
	}
	s.inFlight++
	s.total++
	return ""
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// open handles an openRequest.
func (s *Server) open(ctx context.Context, from peer.Identity, m openRequest) (openResponse, peer.Upgraded, error) {
	if refused := s.begin(); refused != "" {
		return openResponse{Refusal: refused}, nil, nil
	}
	entry, availability := s.lookup(m.incarnation())
	if availability != directory.Available {
		s.end()
		return openResponse{Refusal: refusedUnavailable, Reason: availability.String()}, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.dialer.Dial(ctx, entry)
	if err != nil {
		s.end()
		return openResponse{Refusal: refusedUnreached, Reason: err.Error(), PathLost: s.dialer.PathLost(entry)}, nil, nil
	}
	return openResponse{}, &relayed{server: s, owner: from.VM, endpoint: entry, conn: conn}, nil
}

// lookup returns the entry of the incarnation and whether it may be sent requests.
func (s *Server) lookup(i directory.Incarnation) (directory.Entry, directory.Availability) {
	entry, availability := s.directory.Lookup(i.ID)
	if availability == directory.Available && entry.Incarnation() != i {
		return entry, directory.Unlisted
	}
	return entry, availability
}

// relayed is a request of another VM, the owner. It implements peer.Upgraded.
type relayed struct {
	server   *Server
	owner    string
	endpoint directory.Entry
	conn     net.Conn
	// writing serialises the frames to the owner.
	writing sync.Mutex
	// forwarding serialises the writes to the endpoint, and guards the fields below.
	forwarding sync.Mutex
	// forwarded counts the bytes of the request that were written to the endpoint, and failed is
	// set once a write failed.
	forwarded int64
	failed    bool
}

// Close implements peer.Upgraded.
func (r *relayed) Close() {
	_ = r.conn.Close()
	r.server.end()
}

// Serve implements peer.Upgraded. The end of the owner's connection ends that to the endpoint
// at once.
func (r *relayed) Serve(owner net.Conn) {
	var forwarded sync.WaitGroup
	err := r.forwardRequest(owner, func() { forwarded.Go(func() { r.forwardResponse(owner) }) })
	_ = r.conn.Close()
	_ = owner.Close()
	forwarded.Wait()
	if err != nil {
		r.server.log.Emit(event.RelayEnded{Owner: r.owner, Endpoint: r.endpoint.ID, Reason: err.Error()})
	}
}

// forwardRequest forwards the bytes of the request, and calls begun before the first of them.
// It returns nil when the owner has ended its connection between two frames.
func (r *relayed) forwardRequest(owner net.Conn, begun func()) error {
	in := bufio.NewReader(owner)
	buffer := make([]byte, maxPayload)
	for first := true; ; {
		t, n, err := readHeader(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		payload := buffer[:n]
		if _, err := io.ReadFull(in, payload); err != nil {
			return errors.WithStack(err)
		}
		switch t {
		case frameObserved:
			r.observed(payload)
			continue
		case frameData:
		case frameEnd, frameNotSent, frameBroken:
			return errors.WithStack(&FrameError{byte(t), uint32(n)})
		}
		if first && !r.mayWrite() {
			return r.write(owner, frameNotSent, nil)
		}
		written, err := r.forward(payload)
		if first && written == 0 && err != nil {
			return r.write(owner, frameNotSent, nil)
		}
		if first {
			first = false
			begun()
		}
		if err != nil {
			// The endpoint may have answered before it has read the whole request: the
			// response is forwarded to its end.
			continue
		}
	}
}

// forward writes bytes of the request to the endpoint.
func (r *relayed) forward(payload []byte) (int, error) {
	r.forwarding.Lock()
	defer r.forwarding.Unlock()
	n, err := r.conn.Write(payload)
	r.forwarded += int64(n)
	r.failed = r.failed || err != nil
	return n, errors.WithStack(err)
}

// requestForwarded returns the number of bytes of the request that had been written to the endpoint
// when its connection ended, and false if more of them were to be written (see package httpcheck). A
// write that is pending is ended: one that has returned from the system may not have been counted yet.
func (r *relayed) requestForwarded() (int64, bool) {
	httpcheck.EndWrites(r.conn)
	r.forwarding.Lock()
	defer r.forwarding.Unlock()
	return r.forwarded, !r.failed && httpcheck.Acknowledged(r.conn)
}

// mayWrite reports whether the endpoint may be sent the request, immediately before its first
// byte.
func (r *relayed) mayWrite() bool {
	_, availability := r.server.lookup(r.endpoint.Incarnation())
	return availability == directory.Available
}

// forwardResponse forwards the bytes of the response as they arrive, and how they end.
func (r *relayed) forwardResponse(owner net.Conn) {
	buffer := make([]byte, maxPayload)
	for {
		n, err := r.conn.Read(buffer)
		if n > 0 && r.write(owner, frameData, buffer[:n]) != nil {
			return
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			r.writeEnd(owner)
		default:
			_ = r.write(owner, frameBroken, nil)
		}
		return
	}
}

// writeEnd writes how the request and the response have ended with the regular end of the endpoint's
// connection.
func (r *relayed) writeEnd(owner net.Conn) {
	forwarded, whole := r.requestForwarded()
	if !whole {
		_ = r.write(owner, frameBroken, nil)
		return
	}
	_ = r.write(owner, frameEnd, binary.BigEndian.AppendUint64(nil, uint64(forwarded)))
}

func (r *relayed) write(owner net.Conn, t frameType, payload []byte) error {
	r.writing.Lock()
	defer r.writing.Unlock()
	return writeFrame(owner, t, payload)
}

// observed records what the owner has read in the response: it binds this VM, which sent the
// request.
func (r *relayed) observed(payload []byte) {
	var m observedMessage
	if err := json.Unmarshal(payload, &m); err != nil {
		r.server.log.Emit(event.RelayEnded{Owner: r.owner, Endpoint: r.endpoint.ID, Reason: err.Error()})
		return
	}
	r.server.directory.Observed(r.endpoint.Incarnation(), provider.ResponseHeader{RetryAfter: milliseconds(m.RetryAfter), Leaving: m.Leaving})
}
