package prompt

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// place chooses an endpoint, or a group of endpoints for a prompt that no
// single one can hold. It prefers endpoints that have not been tried yet.
func (a *Answer) place() statechart.Event {
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	a.attempt, a.turnIn = attempt{}, 0
	a.withheldFor = a.guard.Withheld(a.req.Service, a.digest)
	if a.withheldFor > 0 {
		return evUnplaceable
	}
	blocked := a.blocked()
	placed := a.placeOne(union(a.tried, blocked))
	if !placed && len(a.tried) > 0 {
		clear(a.tried)
		placed = a.placeOne(blocked)
	}
	if !placed && !a.placeGroup(blocked) {
		return evUnplaceable
	}
	a.placed = true
	return evPlaced
}

// memoryNeed returns the memory, in tokens, that the next attempt needs. It
// includes the delivered part of the answer, which the engine prefills like a
// part of the prompt.
func (a *Answer) memoryNeed() int64 {
	return a.req.Tokens + a.req.MaxTokens + a.assembly.Delivered()
}

func (a *Answer) placeOne(except map[string]bool) bool {
	for {
		choice, view := a.fleet.Place(a.req.Snapshot, a.req.Service, except, a.placementPrompt())
		if choice.Index < 0 {
			return false
		}
		if !a.takeTurn(view.ID) {
			except = union(except, map[string]bool{view.ID: true})
			continue
		}
		a.setTarget(view.ID, choice.FirstToken, choice.Priority)
		if a.req.Class.LowPriority {
			a.attempt.shares = []reservation.Share{{Endpoint: view.ID, Tokens: a.memoryNeed()}}
		}
		return true
	}
}

// placeGroup divides the prompt among several endpoints if none is large
// enough. The free memory that endpoints reported when they refused a share is
// used for one placement only, and then discarded.
func (a *Answer) placeGroup(except map[string]bool) bool {
	views := a.fleet.Views(a.req.Snapshot, a.req.Service, except)
	if a.fitsOne(views) {
		return false
	}
	a.sortByWait(views)
	candidates := make([]reservation.Candidate, 0, len(views))
	for _, v := range views {
		memory := v.Memory
		if free, ok := a.reportedFree[v.ID]; ok {
			memory = min(memory, free)
		}
		candidates = append(candidates, reservation.Candidate{ID: v.ID, Memory: memory})
	}
	clear(a.reportedFree)
	shares, lead := reservation.Plan(a.memoryNeed(), candidates)
	if shares == nil || !a.takeTurn(lead) {
		return false
	}
	i := slices.IndexFunc(views, func(v placement.View) bool { return v.ID == lead })
	a.setTarget(lead, a.firstToken(&views[i]), a.priority())
	a.attempt.shares = shares
	return true
}

// takeTurn takes a turn for a request to the endpoint and reports whether it got one.
func (a *Answer) takeTurn(id string) bool {
	wait := a.limits.Take(a.ctx, a.req.Snapshot.Endpoints[id].Address)
	if wait > 0 && (a.turnIn == 0 || wait < a.turnIn) {
		a.turnIn = wait
	}
	return wait == 0
}

// fitsOne reports whether any single endpoint is large enough for the prompt,
// even if its memory is not free now.
func (a *Answer) fitsOne(views []placement.View) bool {
	return slices.ContainsFunc(views, func(v placement.View) bool { return v.Memory >= a.memoryNeed() })
}

func (a *Answer) sortByWait(views []placement.View) {
	slices.SortStableFunc(views, func(x, y placement.View) int {
		return cmp.Compare(a.firstToken(&x), a.firstToken(&y))
	})
}

// firstToken predicts the time to first token at the endpoint.
func (a *Answer) firstToken(v *placement.View) time.Duration {
	p := a.placementPrompt()
	return time.Duration(placement.FirstToken(&p, v) * float64(time.Second))
}

func (a *Answer) setTarget(id string, firstToken time.Duration, priority wire.Priority) {
	a.attempt.priority = priority
	a.attempt.endpoint = id
	a.attempt.address = a.req.Snapshot.Endpoints[id].Address
	a.attempt.predicted = firstToken
}

// placementPrompt returns the prompt for placement. Its length includes the
// delivered tokens, which the engine prefills like a part of the prompt.
func (a *Answer) placementPrompt() placement.Prompt {
	p := a.req.Placement()
	p.Tokens += a.assembly.Delivered()
	return p
}

// leadPrompt returns the prompt with only the memory that the lead endpoint
// holds: the shares of the other members of a group are set as Reserved.
func (a *Answer) leadPrompt() placement.Prompt {
	p := a.placementPrompt()
	for _, s := range a.attempt.shares {
		if s.Endpoint != a.attempt.endpoint {
			p.Reserved += s.Tokens
		}
	}
	return p
}

// union returns the union of two sets. If one is empty, it returns the other
// itself, not a copy.
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
	if a.req.Class.LowPriority {
		return wire.PriorityLow
	}
	return wire.PriorityHigh
}

// reserve reserves memory if the attempt has shares.
func (a *Answer) reserve() statechart.Event {
	if len(a.attempt.shares) == 0 {
		return evReserved
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	a.attempt.cancelGrant = cancel
	grant, err := a.holder.Take(ctx, reserve.Claim{
		Request:   a.req.ID,
		Attempt:   a.backOffs + 1,
		Shares:    a.attempt.shares,
		Lead:      a.attempt.endpoint,
		Need:      a.memoryNeed(),
		Addresses: a.addresses(),
		Lost:      cancel,
	})
	if err == nil {
		a.attempt.grant = grant
		a.attempt.ctx = ctx
		return evReserved
	}
	cancel(nil)
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	a.cause = err
	a.recordRefusal(err)
	return evUnreserved
}

// recordRefusal records a failed reservation for the next placement: a single
// endpoint as tried, and for a group the free memory of the endpoint that
// refused its share.
func (a *Answer) recordRefusal(err error) {
	var refused *reserve.RefusedError
	if len(a.attempt.shares) == 1 {
		a.tried[a.attempt.endpoint] = true
	} else if errors.As(err, &refused) {
		a.reportedFree[refused.Endpoint] = refused.Free
	}
}

func (a *Answer) addresses() map[string]string {
	out := make(map[string]string, len(a.attempt.shares))
	for _, s := range a.attempt.shares {
		out[s.Endpoint] = a.req.Snapshot.Endpoints[s.Endpoint].Address
	}
	return out
}

// release releases the reserved memory.
func (a *Answer) release() {
	if a.attempt.grant != nil {
		a.attempt.grant.Release()
		a.attempt.cancelGrant(nil)
		a.attempt.grant = nil
	}
}

// send opens the attempt's stream.
func (a *Answer) send() statechart.Event {
	a.attempts++
	a.recordQueueing(time.Now())
	a.submitted = true
	a.tried[a.attempt.endpoint] = true
	a.attempt.registered = true
	a.attempt.awaitingFirst = true
	a.fleet.SentPrompt(a.attempt.endpoint, a.req.ID, a.leadPrompt(), a.attempt.priority)
	a.breakerSent(a.attempt.endpoint)
	body, err := resumeBody(a.req.Body, a.text.Escaped(), a.assembly.Delivered())
	if err != nil {
		return a.attemptFailed(err)
	}
	a.assembly.Attempt(a.attempts)
	var ctx context.Context
	ctx, a.attempt.cancel = context.WithCancelCause(a.attemptContext())
	a.watchdog.watchAttempt(a.attempt.cancel, a.firstTokenTimeout(), a.otherWay())
	a.attempt.sent = true
	a.attempt.watched = true
	a.guard.Sent(crashguard.Request{ID: a.attemptID(), Service: a.req.Service, Endpoint: a.attempt.endpoint, Deadline: a.req.Deadline})
	s, err := a.streams.Open(ctx, endpoint.Attempt{
		Address:     a.attempt.address,
		Path:        a.req.Path,
		Request:     a.req.ID,
		Number:      a.attempts,
		Owner:       a.holder.Owner(),
		Priority:    a.attempt.priority,
		Reservation: a.attempt.reservation(),
		Body:        body,
	})
	if err != nil {
		a.recordRan(err)
		return a.attemptFailed(err)
	}
	a.ran = errcode.RanYes
	a.attempt.stream = s
	if load, ok := s.Load(); ok {
		a.fleet.Reported(a.attempt.endpoint, a.req.Snapshot.Endpoints[a.attempt.endpoint], load)
	}
	return noEvent
}

// attemptContext returns the context of the attempt. It ends with the request,
// and with the loss of the memory reserved for the attempt.
func (a *Answer) attemptContext() context.Context {
	if a.attempt.grant == nil {
		return a.ctx
	}
	return a.attempt.ctx
}

// reservation returns the id of the reservation that the stream of the attempt
// uses, or an empty string if there is none.
func (t *attempt) reservation() string {
	if t.grant == nil {
		return ""
	}
	return t.grant.ID()
}

// firstTokenTimeout returns the time to the first token of the attempt after which
// it is given up if there is another way.
func (a *Answer) firstTokenTimeout() time.Duration {
	return a.cfg.StallBase + time.Duration(a.cfg.StallFactor*float64(a.attempt.predicted))
}

// recordRan records what the error of a failed Open says about whether the
// attempt was started.
func (a *Answer) recordRan(err error) {
	if provenUnsent(err) {
		a.attempt.sent = false
		return
	}
	if a.ran != errcode.RanYes {
		a.ran = errcode.RanUnknown
	}
}

// provenUnsent reports whether the error proves that the engine did not start
// the attempt.
func provenUnsent(err error) bool {
	var refused *endpoint.RefusedError
	var unsent *endpoint.NotSentError
	return errors.As(err, &refused) || errors.As(err, &unsent)
}

// cancelAttempt closes the stream of the attempt. If the attempt may have been
// started, it also cancels it at the engine, without waiting for the reply.
func (a *Answer) cancelAttempt() {
	a.reportEnded()
	a.closeStream()
	if !a.attempt.sent {
		return
	}
	a.attempt.sent = false
	address := a.attempt.address
	cancel := wire.Cancel{Request: a.req.ID, Attempt: a.attempts}
	a.cancels.Go(func() { _ = a.canceller.Cancel(address, cancel, a.cfg.CancelTimeout) })
}

func (a *Answer) closeStream() {
	a.watchdog.watchAttempt(nil, 0, nil)
	if a.attempt.cancel != nil {
		a.attempt.cancel(nil)
		a.attempt.cancel = nil
	}
	if a.attempt.stream != nil {
		a.attempt.stream.Close()
		a.attempt.stream = nil
	}
}
