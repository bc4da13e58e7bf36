// Package ticket sets memory of endpoints aside for prompts that are larger than
// one endpoint: all of it or none, renewed while its request lasts, and released
// on every way out. A reservation's hold is shorter than the time for which
// memory may stay set aside in vain, so that what a VM can't release, because it
// died or its order came late, ends by itself.
package ticket

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// orderTimeout bounds one order.
	orderTimeout = 400 * time.Millisecond
	// holdShare is the part of the bound on idle memory that a hold lasts.
	holdShare = 0.85
	// renewals is the number of renewals within a hold, so that one or two may be
	// lost.
	renewals = 3
	// releaseTries is how often a release is sent; after that the hold ends.
	releaseTries = 3
	// maxOrderAnswer bounds the answer to an order.
	maxOrderAnswer = 4 << 10
	// defaultHold is used where no bound is known.
	defaultHold = 3 * time.Second
)

// Want is memory that is asked for.
type Want struct {
	// Endpoint is the one that is meant, at the Address.
	Endpoint string
	Address  string
	Tokens   int
}

// NotGrantedError says that an endpoint did not set memory aside.
type NotGrantedError struct {
	Endpoint string
	// Status is the endpoint's answer; zero for none.
	Status int
	Cause  error
}

// Error implements error.
func (e *NotGrantedError) Error() string {
	text := "endpoint " + e.Endpoint + " set no memory aside"
	if e.Status != 0 {
		text += ": answer " + strconv.Itoa(e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotGrantedError) Unwrap() error { return e.Cause }

// Keeper reserves memory. It is safe for concurrent use.
type Keeper struct {
	memory    provider.Memory
	transport *upstream.Transport
	log       *event.Logger
	hold      time.Duration
}

// NewKeeper returns a Keeper whose reservations end by themselves within
// freeWithin, and are never asked for longer than maxHold; zero for no bound.
func NewKeeper(memory provider.Memory, transport *upstream.Transport, log *event.Logger, freeWithin, maxHold time.Duration) *Keeper {
	hold := defaultHold
	if freeWithin > 0 {
		hold = time.Duration(float64(freeWithin) * holdShare)
	}
	if maxHold > 0 {
		hold = min(hold, maxHold)
	}
	return &Keeper{memory: memory, transport: transport, log: log, hold: hold}
}

// Grant is memory that stands until Release.
type Grant struct {
	// IDs name the reservations, in the order of what was asked for.
	IDs []string

	keeper *Keeper
	wants  []Want
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Reserve sets aside all that is asked for, or nothing. The names of the
// reservations begin with the name.
func (k *Keeper) Reserve(ctx context.Context, name string, wants []Want) (*Grant, error) {
	g := &Grant{keeper: k, wants: wants}
	failures := make([]error, len(wants))
	var wg sync.WaitGroup
	for i := range wants {
		g.IDs = append(g.IDs, name+"."+strconv.Itoa(i))
	}
	for i, w := range wants {
		wg.Go(func() { failures[i] = k.reserve(ctx, g.IDs[i], w) })
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			go g.release()
			return nil, err
		}
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.cancel = cancel
	for i, w := range wants {
		g.done.Go(func() { k.renew(renewing, g.IDs[i], w) })
	}
	return g, nil
}

// Release ends the grant. It does not wait for the endpoints.
func (g *Grant) Release() {
	if g == nil {
		return
	}
	g.cancel()
	go func() {
		// No renewal may follow the release.
		g.done.Wait()
		g.release()
	}()
}

func (g *Grant) release() {
	var wg sync.WaitGroup
	for i, w := range g.wants {
		wg.Go(func() { g.keeper.release(g.IDs[i], w) })
	}
	wg.Wait()
}

func (k *Keeper) reserve(ctx context.Context, id string, w Want) error {
	order, err := k.memory.Reserve(w.Endpoint, provider.Reservation{ID: id, Tokens: w.Tokens, Hold: k.hold})
	if err != nil {
		return err
	}
	return k.send(ctx, order, w)
}

// renew keeps a reservation until the context ends.
func (k *Keeper) renew(ctx context.Context, id string, w Want) {
	ticker := time.NewTicker(k.hold / renewals)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := k.reserve(ctx, id, w); err != nil && ctx.Err() == nil {
			k.log.Emit(event.ReservationNotRenewed{Reservation: id, Endpoint: w.Endpoint, Reason: err.Error()})
		}
	}
}

func (k *Keeper) release(id string, w Want) {
	order, err := k.memory.Release(w.Endpoint, id)
	for try := 0; err == nil && try < releaseTries; try++ {
		failure := k.send(context.Background(), order, w)
		var refused *NotGrantedError
		answered := errors.As(failure, &refused) && refused.Status != 0
		if failure == nil || answered {
			// An endpoint that refuses knows nothing of it.
			return
		}
	}
	k.log.Emit(event.ReservationNotReleased{Reservation: id, Endpoint: w.Endpoint})
}

// send sends one order.
func (k *Keeper) send(ctx context.Context, order provider.Order, w Want) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := k.transport.Send(ctx, &upstream.Request{
		Address: w.Address, Method: order.Method, URI: order.URI, Host: w.Address,
		Header: order.Header, Body: order.Body,
	})
	if err != nil {
		return errors.WithStack(&NotGrantedError{Endpoint: w.Endpoint, Cause: err})
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxOrderAnswer)); err != nil {
		return errors.WithStack(&NotGrantedError{Endpoint: w.Endpoint, Cause: err})
	}
	if !k.memory.Done(resp.Status) {
		return errors.WithStack(&NotGrantedError{Endpoint: w.Endpoint, Status: resp.Status})
	}
	return nil
}
