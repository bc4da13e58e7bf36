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

// Once makes a non-idempotent call, at most once per idempotency key. It returns
// as soon as the reply to the caller is known. A result that has not been
// recorded by then is recorded in the background, also if the caller has
// disconnected.
func (r *Runner) Once(req Request) (endpoint.Answer, error) {
	addresses := r.addresses(req)
	if len(addresses) == 0 {
		return endpoint.Answer{}, errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service).WithRetryAfter(r.cfg.StoreRetry)
	}
	req = req.identified()
	if err := r.checkWithheld(req); err != nil {
		return endpoint.Answer{}, err
	}
	addresses, wait := r.withTurn(addresses, time.Until(req.Deadline))
	if len(addresses) == 0 {
		return endpoint.Answer{}, endpointsLimited(req, wait)
	}
	d, err := r.newDriver(req, addresses)
	if err != nil {
		return endpoint.Answer{}, err
	}
	r.running.Go(d.run)
	reply := <-d.reply
	if d.answer != nil && (reply.Err == nil || reply.Err.Code == errcode.ResultTooLarge) {
		return *d.answer, nil
	}
	if reply.Err != nil {
		return endpoint.Answer{}, reply.Err
	}
	return r.loadAnswer(*reply.Result)
}

// loadAnswer returns the service's response from a recorded result. It reads the
// body from the object store if it is stored there.
func (r *Runner) loadAnswer(result calls.Result) (endpoint.Answer, error) {
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

// driver performs the actions of one calls.Call.
type driver struct {
	runner  *Runner
	request Request
	key     string
	// addresses are those of the endpoints, in the order in which they are tried. A turn
	// has been taken at the first one.
	addresses []string
	call      *calls.Call
	reply     chan calls.Reply
	// answer is the service's response to this attempt, if it was read completely.
	// The caller gets it even if the result cannot be recorded.
	answer *endpoint.Answer
	// replied is set once the reply has been sent to the caller.
	replied bool
	// abandoned is set when recording the outcome is given up because too many
	// calls are in the background.
	abandoned bool
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
		ProcessEnded: r.processEnded,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return d, err
}

// run processes the call's events until no action is left. The caller always
// gets a reply.
func (d *driver) run() {
	defer d.finish()
	var next calls.Event = calls.Started{}
	for next != nil {
		actions, err := d.call.Handle(time.Now(), next)
		if err != nil {
			d.sendReply(calls.Reply{Err: errcode.From(err)})
			return
		}
		next = d.perform(actions)
	}
}

// perform performs the actions and returns the resulting event, or nil if the
// call has ended.
func (d *driver) perform(actions []calls.Action) calls.Event {
	var next calls.Event
	for _, a := range actions {
		d.runner.beforeAction(a)
		switch a := a.(type) {
		case calls.Write:
			next = d.write(a)
		case calls.Send:
			next = d.send(a)
		case calls.Wait:
			time.Sleep(a.For)
			next = calls.TimerFired{}
		case calls.Answer:
			d.sendReply(a.Reply)
		case calls.GiveUp:
			d.logUnrecorded(a.Status)
		}
		if d.abandoned {
			return nil
		}
	}
	return next
}

// sendReply replies to the caller, once. From then on the call counts towards
// maxBackground. Above that bound, an unfinished call is abandoned.
func (d *driver) sendReply(reply calls.Reply) {
	if d.replied {
		return
	}
	d.replied = true
	d.reply <- reply
	if d.runner.background.Add(1) > maxBackground && !d.call.Done() {
		d.abandoned = true
		d.logUnrecorded(calls.StatusStarted)
	}
}

func (d *driver) finish() {
	if d.replied {
		d.runner.background.Add(-1)
		return
	}
	d.reply <- calls.Reply{Err: errcode.New(errcode.Internal, "the call ended without a reply")}
}

func (d *driver) logUnrecorded(status calls.Status) {
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

// writeClass returns the rate-limit class of the transaction: ClassCallWrite if
// it inserts the call's row and so admits the call, ClassCallRecord otherwise.
func writeClass(txn wire.Txn) platform.Class {
	if slices.ContainsFunc(txn.Conditions, func(c wire.Condition) bool { return c.Version == wire.AbsentVersion }) {
		return platform.ClassCallWrite
	}
	return platform.ClassCallRecord
}

// send sends the call to the endpoint with the index s.Number, once.
func (d *driver) send(s calls.Send) calls.Event {
	if s.Number >= len(d.addresses) || s.Within <= 0 {
		return calls.Sent{Outcome: calls.SendNotRun}
	}
	address := d.addresses[s.Number]
	if s.Number > 0 && d.runner.takeTurn(address, s.Within) > 0 {
		return calls.Sent{Outcome: calls.SendNotRun}
	}
	answer, err := d.runner.do(d.request, address, s.Within)
	if err == nil {
		d.answer = &answer
		return calls.Sent{Outcome: calls.SendAnswered, Result: d.storeResult(answer)}
	}
	var large *endpoint.AnswerTooLargeError
	if errors.As(err, &large) {
		return calls.Sent{Outcome: calls.SendAnswered, Result: calls.Result{HTTPStatus: large.Status, TooLarge: true}}
	}
	if provablyNotRun(err) {
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

// provablyNotRun reports whether err proves that the call did not run.
func provablyNotRun(err error) bool {
	var notSent *endpoint.NotSentError
	var refused *endpoint.RefusedError
	return errors.As(err, &notSent) || errors.As(err, &refused)
}

// storeResult returns the result to record, and stores a body longer than
// maxInlineBytes in the object store. If that fails or takes longer than the
// caller's deadline, the result is marked as too large: it is more important to
// record that the call ran than to keep its response.
func (d *driver) storeResult(answer endpoint.Answer) calls.Result {
	result := calls.Result{HTTPStatus: answer.Status, Body: answer.Body}
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
