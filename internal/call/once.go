package call

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// Once makes a call that may not be repeated. It returns as soon as the
// caller's answer is known; a result that could not be recorded by then is
// recorded behind the caller's back, also where the caller has gone.
func (r *Runner) Once(req Request) (endpoint.Answer, error) {
	addresses := r.addresses(req)
	if len(addresses) == 0 {
		return endpoint.Answer{}, errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service).WithRetryAfter(r.cfg.StoreRetry)
	}
	d, err := r.newDriver(req, addresses)
	if err != nil {
		return endpoint.Answer{}, err
	}
	r.running.Go(d.run)
	reply := <-d.reply
	if d.sent != nil && (reply.Err == nil || reply.Err.Code == errcode.ResultTooLarge) {
		return *d.sent, nil
	}
	if reply.Err != nil {
		return endpoint.Answer{}, reply.Err
	}
	return r.answer(*reply.Result)
}

// answer reads a result's body, where it is kept in the object store.
func (r *Runner) answer(result calls.Result) (endpoint.Answer, error) {
	answer := endpoint.Answer{Status: result.HTTPStatus, Body: result.Body}
	if result.Object == "" || result.Body != nil {
		return answer, nil
	}
	body, err := r.store.GetObject(result.Object)
	if err != nil {
		return answer, errcode.New(errcode.StoreUnavailable, "the call ran; its answer can't be read now").
			WithRan(errcode.RanYes).WithRetryAfter(r.cfg.StoreRetry)
	}
	answer.Body = body
	return answer, nil
}

// driver carries out the actions of one calls.Call.
type driver struct {
	runner    *Runner
	request   Request
	key       string
	addresses []string
	call      *calls.Call
	reply     chan calls.Reply
	// sent is the service's answer to this attempt, if it was read whole. Its
	// caller gets it whatever becomes of the record.
	sent *endpoint.Answer
	// replied is set once the caller has its answer.
	replied bool
	// stopped is set when the outcome is given up.
	stopped bool
}

func (r *Runner) newDriver(req Request, addresses []string) (*driver, error) {
	d := &driver{
		runner:    r,
		request:   req,
		key:       calls.RowKey(req.Organisation, req.Service, req.Key),
		addresses: addresses,
		reply:     make(chan calls.Reply, 1),
	}
	var err error
	d.call, err = calls.New(r.config(req.Snapshot), calls.Request{
		Key:          d.key,
		Digest:       calls.RequestDigest(req.Operation, req.Body),
		Attempt:      uuid.NewString(),
		VM:           r.vm,
		Incarnation:  r.incarnation,
		Deadline:     req.Deadline,
		ProcessEnded: r.gone,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return d, err
}

// run feeds the call its events until nothing is left to do. The caller always
// gets a reply.
func (d *driver) run() {
	defer d.leave()
	var next calls.Event = calls.Started{}
	for next != nil {
		actions, err := d.call.Handle(time.Now(), next)
		if err != nil {
			d.tell(calls.Reply{Err: errcode.From(err)})
			return
		}
		next = d.carryOut(actions)
	}
}

// carryOut carries out the actions and returns the event that answers the last
// of them; nil when the call has ended.
func (d *driver) carryOut(actions []calls.Action) calls.Event {
	var next calls.Event
	for _, a := range actions {
		d.runner.step(a)
		switch a := a.(type) {
		case calls.Write:
			next = d.write(a)
		case calls.Send:
			next = d.send(a)
		case calls.Wait:
			time.Sleep(a.For)
			next = calls.TimerFired{}
		case calls.Answer:
			d.tell(a.Reply)
		case calls.GiveUp:
			d.unrecorded(a.Status)
		}
		if d.stopped {
			return nil
		}
	}
	return next
}

// tell answers the caller. From then on the call counts as background work, of
// which there is a bound.
func (d *driver) tell(reply calls.Reply) {
	if d.replied {
		return
	}
	d.replied = true
	d.reply <- reply
	if d.runner.background.Add(1) > maxBackground && !d.call.Done() {
		d.stopped = true
		d.unrecorded(calls.StatusStarted)
	}
}

func (d *driver) leave() {
	if d.replied {
		d.runner.background.Add(-1)
		return
	}
	d.reply <- calls.Reply{Err: errcode.New(errcode.Internal, "the call ended without a reply")}
}

func (d *driver) unrecorded(status calls.Status) {
	d.runner.log.Emit(event.CallUnrecorded{
		Request:      d.request.ID,
		Organisation: d.request.Organisation,
		Service:      d.request.Service,
		Row:          d.key,
		Status:       string(status),
	})
}

func (d *driver) write(w calls.Write) calls.Event {
	if w.Within <= 0 {
		return calls.Written{Outcome: calls.WriteRefused}
	}
	result, outcome, err := d.runner.store.Try(writeClass(w.Txn), w.Txn, w.Within)
	switch {
	case outcome == platform.OutcomeApplied:
		return calls.Written{Outcome: calls.WriteApplied, Result: result}
	case outcome == platform.OutcomeUnknown:
		return calls.Written{Outcome: calls.WriteUnknown}
	case err != nil:
		return calls.Written{Outcome: calls.WriteRefused}
	}
	return calls.Written{Outcome: calls.WriteFailed, Result: result}
}

// writeClass tells the write that lets the call in from those that record what
// became of it.
func writeClass(txn wire.Txn) platform.Class {
	if slices.ContainsFunc(txn.Conditions, func(c wire.Condition) bool { return c.Version == wire.AbsentVersion }) {
		return platform.ClassCallWrite
	}
	return platform.ClassCallRecord
}

// send makes the call at the next endpoint, once.
func (d *driver) send(s calls.Send) calls.Event {
	if s.Number >= len(d.addresses) || s.Within <= 0 {
		return calls.Sent{Outcome: calls.SendNotRun}
	}
	call := d.request.at(d.addresses[s.Number], s.Within)
	call.NewConnection = true
	answer, err := d.runner.service.Do(call)
	if err == nil {
		if !answer.TooLarge {
			d.sent = &answer
		}
		return calls.Sent{Outcome: calls.SendAnswered, Result: d.result(answer)}
	}
	if provedNotRun(err) {
		return calls.Sent{Outcome: calls.SendNotRun}
	}
	d.runner.log.Emit(event.CallUnknown{
		Request:      d.request.ID,
		Organisation: d.request.Organisation,
		Service:      d.request.Service,
		Row:          d.key,
		Reason:       err.Error(),
	})
	return calls.Sent{Outcome: calls.SendUnknown}
}

// provedNotRun reports whether err proves that the call did not run.
func provedNotRun(err error) bool {
	var notSent *endpoint.NotSentError
	var refused *endpoint.RefusedError
	return errors.As(err, &notSent) || errors.As(err, &refused)
}

// result puts a large body in the object store. One that can't be kept by the
// caller's deadline is recorded as such: that the call ran matters more than
// what it answered.
func (d *driver) result(answer endpoint.Answer) calls.Result {
	result := calls.Result{HTTPStatus: answer.Status, Body: answer.Body, TooLarge: answer.TooLarge}
	if len(answer.Body) <= maxInlineBytes {
		return result
	}
	result.Body = nil
	result.Object = calls.ObjectPrefix + uuid.NewString()
	put := make(chan error, 1)
	d.runner.running.Go(func() { put <- d.runner.store.PutObject(result.Object, answer.Body) })
	select {
	case err := <-put:
		if err == nil {
			return result
		}
	case <-time.After(time.Until(d.request.Deadline)):
	}
	return calls.Result{HTTPStatus: answer.Status, TooLarge: true}
}
