// Package ticket reserves endpoint memory for prompts that do not fit in the
// memory of a single endpoint. The reservations for a request are granted all or
// none, renewed while the request is in flight, and released however it ends.
// Each reservation expires sooner than the limit on idle reserved memory, so that
// one that is never released, because the VM crashed or its reserve request was
// carried out late, still ends within that limit.
package ticket

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// requestTimeout bounds one reserve, renew or release request.
	requestTimeout = 400 * time.Millisecond
	// holdFraction is the hold time of a reservation as a fraction of the limit on
	// idle reserved memory.
	holdFraction = 0.85
	// renewalsPerHold is the number of renewals sent within one hold time, so that
	// one or two of them may be lost.
	renewalsPerHold = 3
	// releaseAttempts is the maximum number of attempts to release a reservation;
	// after that it is left to expire.
	releaseAttempts = 3
	// maxResponseBytes bounds the body of an endpoint's response.
	maxResponseBytes = 4 << 10
	// defaultHold is the hold time where no limit on idle memory is configured.
	defaultHold = 3 * time.Second
)

// Request is a request for memory at one endpoint.
type Request struct {
	// Endpoint is the ID of the endpoint, Started that of its incarnation, and Address its
	// network address.
	Endpoint string
	Started  int64
	Address  string
	// FailureDomain is that of the endpoint; empty if it is not known.
	FailureDomain string
	// Tokens is the amount of memory, in tokens.
	Tokens int
}

// NotGrantedError reports that an endpoint did not reserve the memory.
type NotGrantedError struct {
	Endpoint string
	// Status is the HTTP status of the endpoint's response; zero if there was none.
	Status int
	Cause  error
}

// Error implements error.
func (e *NotGrantedError) Error() string {
	text := "endpoint " + e.Endpoint + " did not reserve memory"
	if e.Status != 0 {
		text += ": status " + strconv.Itoa(e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap implements the interface used by errors.Is and errors.As.
func (e *NotGrantedError) Unwrap() error { return e.Cause }

// ResponseTooLargeError reports a response whose body exceeds maxResponseBytes. Whether the request
// was carried out is not known, whatever the status says.
type ResponseTooLargeError struct{}

// Error implements error.
func (*ResponseTooLargeError) Error() string {
	return "response larger than " + strconv.Itoa(maxResponseBytes) + " bytes"
}

// Config has the dependencies and limits of a Reserver.
type Config struct {
	Encoder   provider.MemoryEncoder
	Transport *upstream.Transport
	Log       *event.Logger
	// MaxIdle is the time within which reservations expire unless they are renewed;
	// zero selects the default hold time.
	MaxIdle time.Duration
	// MaxHold is the longest hold time that endpoints grant; zero for no limit.
	MaxHold time.Duration
	// Observe receives the status and header of each response of an endpoint.
	Observe func(request Request, status int, header http.Header)
	// Match tells whether a response belongs to a request of the Reserver.
	Match func(http.Header) upstream.Match
}

// Reserver reserves, renews and releases endpoint memory. It is safe for concurrent
// use.
type Reserver struct {
	cfg  Config
	hold time.Duration
}

// NewReserver returns a Reserver.
func NewReserver(cfg Config) *Reserver {
	hold := defaultHold
	if cfg.MaxIdle > 0 {
		hold = time.Duration(float64(cfg.MaxIdle) * holdFraction)
	}
	if cfg.MaxHold > 0 {
		hold = min(hold, cfg.MaxHold)
	}
	return &Reserver{cfg: cfg, hold: hold}
}

// Grant is a set of reservations that are renewed until Release is called.
type Grant struct {
	// IDs are the IDs of the reservations, in the order of the requests.
	IDs []string

	owner    *Reserver
	requests []Request
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Reserve makes all the requested reservations or none: if one fails, the others
// are released in the background and its error is returned. The ID of each
// reservation is the name, a dot and the index of its request.
func (r *Reserver) Reserve(ctx context.Context, name string, requests []Request) (*Grant, error) {
	g := &Grant{owner: r, requests: requests}
	errs := make([]error, len(requests))
	var wg sync.WaitGroup
	for i := range requests {
		g.IDs = append(g.IDs, name+"."+strconv.Itoa(i))
	}
	for i, request := range requests {
		wg.Go(func() { errs[i] = r.reserve(ctx, g.IDs[i], request, true) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			go g.release()
			return nil, err
		}
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.cancel = cancel
	for i, request := range requests {
		g.done.Go(func() { r.renew(renewCtx, g.IDs[i], request) })
	}
	return g, nil
}

// Release stops the renewals and releases the reservations in the background. It
// does nothing on a nil Grant.
func (g *Grant) Release() {
	if g == nil {
		return
	}
	g.cancel()
	go func() {
		// A renewal that reached the endpoint after the release would reserve the
		// memory again.
		g.done.Wait()
		g.release()
	}()
}

func (g *Grant) release() {
	var wg sync.WaitGroup
	for i, request := range g.requests {
		wg.Go(func() { g.owner.release(g.IDs[i], request) })
	}
	wg.Wait()
}

// Address returns the address of the endpoint that holds the i-th reservation.
func (g *Grant) Address(i int) string { return g.requests[i].Address }

// reserve makes or renews a reservation. On a new connection the response can't be a
// late second copy of an earlier one.
func (r *Reserver) reserve(ctx context.Context, id string, request Request, newConnection bool) error {
	req, err := r.cfg.Encoder.Reserve(request.Endpoint, provider.Reservation{ID: id, Tokens: request.Tokens, Hold: r.hold})
	if err != nil {
		return err
	}
	return r.send(ctx, req, request, newConnection)
}

// renew renews a reservation periodically until the context is cancelled.
func (r *Reserver) renew(ctx context.Context, id string, request Request) {
	ticker := time.NewTicker(r.hold / renewalsPerHold)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.reserve(ctx, id, request, false); err != nil && ctx.Err() == nil {
			r.cfg.Log.Emit(event.ReservationNotRenewed{Reservation: id, Endpoint: request.Endpoint, Reason: err.Error()})
		}
	}
}

func (r *Reserver) release(id string, request Request) {
	req, err := r.cfg.Encoder.Release(request.Endpoint, id)
	for attempt := 0; err == nil && attempt < releaseAttempts; attempt++ {
		sendErr := r.send(context.Background(), req, request, false)
		var notGranted *NotGrantedError
		rejected := errors.As(sendErr, &notGranted) && notGranted.Status != 0
		if sendErr == nil || rejected {
			// An endpoint that rejects the release does not hold the reservation.
			return
		}
	}
	r.cfg.Log.Emit(event.ReservationNotReleased{Reservation: id, Endpoint: request.Endpoint})
}

// send sends one request to an endpoint. It returns a NotGrantedError if the
// endpoint does not respond in time, responds with an error status, or exceeds a bound of bytes.
func (r *Reserver) send(ctx context.Context, req provider.ControlRequest, request Request, newConnection bool) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := r.cfg.Transport.Send(ctx, &upstream.Request{
		Address: request.Address, FailureDomain: request.FailureDomain, Endpoint: directory.Incarnation{ID: request.Endpoint, Started: request.Started},
		Cause: metrics.CauseReservation, Method: req.Method, URI: req.URI, Host: request.Address,
		Header: req.Header, Body: req.Body, NewConnection: newConnection, Match: r.cfg.Match,
	})
	if err != nil {
		return errors.WithStack(&NotGrantedError{Endpoint: request.Endpoint, Cause: err})
	}
	defer resp.Close()
	r.cfg.Observe(request, resp.Status, resp.Header)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && n > maxResponseBytes {
		err = errors.WithStack(&ResponseTooLargeError{})
	}
	if err != nil {
		return errors.WithStack(&NotGrantedError{Endpoint: request.Endpoint, Cause: err})
	}
	if !r.cfg.Encoder.Succeeded(resp.Status) {
		return errors.WithStack(&NotGrantedError{Endpoint: request.Endpoint, Status: resp.Status})
	}
	return nil
}
