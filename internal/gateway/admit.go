package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/buffers"
	"cornelsaddle.example/cornelsaddle/internal/clock"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
)

// admit resolves the request's route, organisation and service, and reads its body. The
// configuration in force once the body is whole decides, as a body may take long to arrive. If the
// request is rejected, admit sends the failure and returns false.
func (x *exchange) admit() bool {
	if !x.resolve() {
		return false
	}
	reading := clock.Start()
	if !x.receiveBody() {
		return false
	}
	if reading.Suspended() > suspensionLimit {
		x.gateway.cfg.Freshness.Await(x.r.Context())
	}
	if x.gateway.cfg.Tables.Current() != x.table && !x.resolveAgain() {
		return false
	}
	x.requestDigest = x.digest()
	x.arrived = time.Now()
	x.stopwatch = clock.Start()
	x.deadline = x.arrived.Add(x.timeout())
	x.service = x.route.PickService(x.gateway.cfg.Random())
	x.gateway.countRequest(x.service)
	return true
}

// resolve sets the request's route, organisation and priority by the configuration in force. If the
// request is rejected, it sends the failure and returns false.
func (x *exchange) resolve() bool {
	x.table = x.gateway.cfg.Tables.Current()
	if x.table == nil {
		x.fail(failNotReady, defaultRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.table.Route(x.r.Host, path)
	if x.route == nil {
		x.fail(failNoRoute, 0)
		return false
	}
	if !x.authenticate() {
		x.fail(failUnknownKey, 0)
		return false
	}
	return true
}

// resolveAgain is like resolve, for a request whose body has arrived while the configuration has
// changed.
func (x *exchange) resolveAgain() bool {
	was := x.table.Version()
	if !x.resolve() {
		return false
	}
	x.gateway.cfg.Log.Emit(event.RequestResolvedAgain{Request: x.call.ID, Route: x.route.Name, Version: x.table.Version(), Was: was})
	if limit := x.table.Limits().MaxBodyBytes; limit > 0 && len(x.body) > limit {
		x.fail(failTooLarge, 0)
		return false
	}
	return true
}

// receiveBody reads the request's body. If that fails, it sends the failure and returns false.
func (x *exchange) receiveBody() bool {
	body, ok, err := x.readBody()
	switch {
	case usedUp(err):
		x.refuseMemory()
	case err != nil && x.gateway.exitingSoon():
		x.fail(failNotRun, defaultRetryAfter)
	case tooSlow(err):
		x.w.Header().Set("Connection", "close")
		x.fail(failTooSlow, 0)
	case err != nil:
		x.fail(failUnreadable, 0)
	case !ok:
		x.fail(failTooLarge, 0)
	default:
		x.body = body
		return true
	}
	return false
}

// readBody reads the request's body. It ends early if the VM is about to exit, and with a TooSlowError if
// the body arrives more slowly than the limits allow. ok is false if the
// body exceeds the limit of the configuration; the error is a membudget.UsedUpError if there is no
// memory for it, at once where its length is known.
func (x *exchange) readBody() (body []byte, ok bool, err error) {
	limit := x.table.Limits().MaxBodyBytes
	switch {
	case x.r.Body == nil || x.r.Body == http.NoBody:
		return nil, true, nil
	case limit > 0 && x.r.ContentLength > int64(limit):
		return nil, false, nil
	case !x.gateway.cfg.Memory.RequestFits(x.r.ContentLength):
		return nil, true, errors.WithStack(&membudget.UsedUpError{Bytes: int(x.r.ContentLength)})
	}
	defer context.AfterFunc(x.gateway.exiting, func() {
		// A connection that can't take a deadline is read to the end of the process.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})()
	x.memory = x.gateway.cfg.Memory.Hold(buffers.Requests, nil)
	b := bodyBuffer{memory: x.memory, take: x.memory.Grow}
	paced := newPacedBody(x.r.Body, x.table.Limits().BodyTime, func() {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})
	ended, err := b.fill(paced, limit, x.r.ContentLength)
	if paced.stop() {
		// The interrupted connection can't be used any more, also if the body is whole.
		return nil, true, errors.WithStack(&TooSlowError{len(b.bytes)})
	}
	return b.bytes, ended || err != nil, err
}

// authenticate sets the organisation and the priority from the request's key. It
// returns false if the route requires a key and the key is unknown.
func (x *exchange) authenticate() bool {
	x.organisation, x.priority = "", x.route.Priority
	if !x.table.NeedsKey(x.route) {
		return true
	}
	o := x.table.Organisation(x.call.Key)
	if o == nil {
		return false
	}
	x.organisation = o.Name
	if o.HasPriority {
		x.priority = o.Priority
	}
	return true
}
