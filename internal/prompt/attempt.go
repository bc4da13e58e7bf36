package prompt

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// place chooses an endpoint, if possible one that was not tried yet.
func (a *Answer) place() statechart.Event {
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	a.attempt = attempt{}
	blocked := a.blocked()
	choice, view := a.pick(union(a.tried, blocked))
	if choice.Index < 0 && len(a.tried) > 0 {
		clear(a.tried)
		choice, view = a.pick(blocked)
	}
	if choice.Index < 0 {
		return evUnplaceable
	}
	a.attempt = attempt{
		endpoint:  view.ID,
		address:   a.req.Snapshot.Endpoints[view.ID].Address,
		predicted: choice.FirstToken,
	}
	return evPlaced
}

func (a *Answer) pick(except map[string]bool) (placement.Choice, placement.View) {
	views := a.fleet.Views(a.req.Snapshot, a.req.Service, except)
	choice := placement.Pick(placement.Prompt{
		Tokens:      a.req.Tokens,
		MaxTokens:   a.req.MaxTokens,
		Priority:    a.priority(),
		DelayWeight: a.req.Snapshot.Services[a.req.Service].DelayWeight,
	}, views)
	if choice.Index < 0 {
		return choice, placement.View{}
	}
	return choice, views[choice.Index]
}

// union joins two sets; it returns one of them where the other is empty.
func union(a, b map[string]bool) map[string]bool {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := make(map[string]bool, len(a)+len(b))
	for id := range a {
		out[id] = true
	}
	for id := range b {
		out[id] = true
	}
	return out
}

func (a *Answer) priority() wire.Priority {
	if a.req.Class.Low {
		return wire.PriorityLow
	}
	return wire.PriorityHigh
}

// reserve sets memory aside where the prompt needs it.
func (a *Answer) reserve() statechart.Event { return evReserved }

// release gives back the memory set aside.
func (a *Answer) release() {}

// send opens the attempt's stream.
func (a *Answer) send() statechart.Event {
	a.attempts++
	a.handed = true
	a.tried[a.attempt.endpoint] = true
	a.attempt.pending = true
	a.fleet.Sent(a.attempt.endpoint, a.req.ID, a.req.Tokens, a.priority())
	a.breakerSent(a.attempt.endpoint)
	body, err := a.text.body(a.req.Body, a.assembly.Delivered())
	if err != nil {
		return a.failed(err)
	}
	a.assembly.Attempt(a.attempts)
	var ctx context.Context
	ctx, a.attempt.cancel = context.WithCancelCause(a.ctx)
	a.watch.attempt(a.attempt.cancel, a.patience())
	a.attempt.sent = true
	s, err := a.streams.Open(ctx, endpoint.Attempt{
		Address:  a.attempt.address,
		Path:     a.req.Path,
		Request:  a.req.ID,
		Number:   a.attempts,
		Priority: a.priority(),
		Body:     body,
	})
	if err != nil {
		a.noteRan(err)
		return a.failed(err)
	}
	a.ran = errcode.RanYes
	a.attempt.stream = s
	return nothing
}

// patience is how long the attempt may take to its first token.
func (a *Answer) patience() time.Duration {
	return a.cfg.StallBase + time.Duration(a.cfg.StallFactor*float64(a.attempt.predicted))
}

// noteRan notes what a failed Open proves.
func (a *Answer) noteRan(err error) {
	if provenUnsent(err) {
		a.attempt.sent = false
		return
	}
	if a.ran != errcode.RanYes {
		a.ran = errcode.RanUnknown
	}
}

// provenUnsent reports whether the error proves that nothing was started.
func provenUnsent(err error) bool {
	var refused *endpoint.RefusedError
	var unsent *endpoint.NotSentError
	return errors.As(err, &refused) || errors.As(err, &unsent)
}

// cancelAttempt ends the attempt's stream and frees what it holds.
func (a *Answer) cancelAttempt() {
	a.started()
	a.closeStream()
	if !a.attempt.sent {
		return
	}
	a.attempt.sent = false
	address := a.attempt.address
	order := wire.Cancel{Request: a.req.ID, Attempt: a.attempts}
	a.orders.Go(func() { _ = a.orderer.Cancel(address, order, a.cfg.CancelTimeout) })
}

func (a *Answer) closeStream() {
	a.watch.attempt(nil, 0)
	if a.attempt.cancel != nil {
		a.attempt.cancel(nil)
		a.attempt.cancel = nil
	}
	if a.attempt.stream != nil {
		a.attempt.stream.Close()
		a.attempt.stream = nil
	}
}
