package entry

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It is longer than
	// the callers' own timeouts, so that they close idle connections first.
	idleTimeout = 2 * time.Minute
	// reservedDescriptors is the number of file descriptors reserved for files and
	// for connections to the store, the other VMs and the balancer.
	reservedDescriptors = 300
	// callerDescriptorFraction is the fraction of the remaining descriptors for
	// callers' connections; the rest is for connections to endpoints.
	callerDescriptorFraction = 0.5
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server with its own listener.
type server struct {
	http     *http.Server
	listener *drainListener
}

// serve starts an HTTP server on the address, with at most maxConnections open
// connections; zero means no limit. It serves until close or drain.
func serve(address string, handler http.Handler, maxConnections int) (*server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	tracked := newDrainListener(l, maxConnections)
	s := &server{listener: tracked, http: &http.Server{
		Handler:           trackRequests(handler),
		ConnState:         trackState,
		ConnContext:       connContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The library's log lines are not structured events, and may quote
		// request contents.
		ErrorLog: log.New(io.Discard, "", 0),
	}}
	go func() { _ = s.http.Serve(tracked) }()
	return s, nil
}

// drain waits until all connections have ended, or until the deadline. Requests that
// arrive meanwhile are served. Idle connections are closed, and no more connections
// are accepted once none has come for a while. Requests still in flight at the
// deadline are cut off by close; the caller counts them.
func (s *server) drain(deadline time.Time) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	since := time.Now()
	for now := range ticker.C {
		if s.listener.expireIdle(since, now) || now.After(deadline) {
			return
		}
	}
}

// close closes the listener and all connections. A nil server is ignored.
func (s *server) close() {
	if s != nil {
		_ = s.http.Close()
	}
}

func (v *VM) listen() error {
	var err error
	if v.callerServer, err = serve(v.settings.Callers, labelRequests(v.components.Gateway), maxCallerConnections(v.settings.Limits.MaxDescriptors)); err != nil {
		return err
	}
	if v.balancerServer, err = serve(v.settings.Balancer, http.HandlerFunc(v.handleReadiness), 0); err != nil {
		return err
	}
	if v.settings.Metrics != "" {
		v.metricsServer, err = serve(v.settings.Metrics, v.metricsHandler(), 0)
	}
	return err
}

// maxCallerConnections returns the limit on callers' connections for the number of
// file descriptors, or zero for no limit. Connections beyond the limit wait in the
// listener's backlog.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(float64(descriptors-reservedDescriptors)*callerDescriptorFraction))
}

func (v *VM) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !v.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
