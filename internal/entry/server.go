package entry

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

const (
	// noticeTime is how long the balancer takes to notice that a VM is not ready:
	// it asks once a second and believes the second answer.
	noticeTime = 2500 * time.Millisecond
	// endMargin is kept from the end of the grace.
	endMargin = 300 * time.Millisecond
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle; callers close
	// theirs before.
	idleTimeout = 2 * time.Minute
	// otherDescriptors are kept for files, the store, the other VMs and the balancer.
	otherDescriptors = 300
	// callersShare is the part of the remaining descriptors that callers'
	// connections may take; the rest is for those to endpoints.
	callersShare = 0.5
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// server is one listener.
type server struct {
	http *http.Server
}

// serve listens on the address until close, with at most so many connections at
// once; zero for any number.
func serve(address string, handler http.Handler, most int) (*server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if most > 0 {
		l = netutil.LimitListener(l, most)
	}
	s := &server{&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The library's own lines are no events, and may quote a request.
		ErrorLog: log.New(io.Discard, "", 0),
	}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// drain takes no more connections and waits until nothing is in flight, or the
// end.
func (s *server) drain(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// What is left at the end is cut off, and counted by the caller.
	_ = s.http.Shutdown(ctx)
}

// close ends the server; nil for none.
func (s *server) close() {
	if s != nil {
		_ = s.http.Close()
	}
}

func (e *Entry) listen() error {
	var err error
	if e.callers, err = serve(e.settings.Callers, e.parts.Gateway, callersLimit(e.settings.Machine.MaxDescriptors)); err != nil {
		return err
	}
	if e.balancer, err = serve(e.settings.Balancer, http.HandlerFunc(e.answerBalancer), 0); err != nil {
		return err
	}
	if e.settings.Metrics != "" {
		e.metrics, err = serve(e.settings.Metrics, http.HandlerFunc(e.answerMetrics), 0)
	}
	return err
}

// callersLimit is the number of callers' connections for so many descriptors; what
// comes beyond it waits to be accepted. Zero for no limit.
func callersLimit(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(float64(descriptors-otherDescriptors)*callersShare))
}

func (e *Entry) answerBalancer(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
