package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	eventstream "cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// stream is the state of a stream's delivery to the caller.
type stream struct {
	// headerSent is set when the response header is written.
	headerSent atomic.Bool
	// position is that of the last event delivered.
	position eventstream.Position
	// lastDelivery is the time of the last delivery of events.
	lastDelivery time.Time
	// longestGap is the longest time between two deliveries.
	longestGap time.Duration
	// events counts the delivered events that have an ID.
	events int
}

// relayStream delivers a stream's events as they arrive, never part of one. The header is sent with
// the first event, so that a stream that breaks before it can be replaced by another endpoint's. Once
// it was sent, the events must go on after the last one delivered. A stream that is silent stays open
// unless another endpoint answers in its place.
func (x *exchange) relayStream(ctx context.Context, o *openedAttempt) attemptResult {
	resp, buffer := o.resp, o.buffer
	if buffer == nil {
		buffer = newEventBuffer(resp)
	}
	standby := x.newStandby(ctx, o)
	defer standby.stop()
	resumption := x.resumption()
	standby.start()
	for {
		events, err := buffer.next()
		if len(events) == 0 && err == nil {
			continue
		}
		if err != nil && !errors.Is(err, io.EOF) {
			standby.await(err)
		}
		if x.replacement = standby.stop(); x.replacement != nil {
			return x.replacedAttempt(resp.Status, standby.cause())
		}
		x.unfinished = buffer.unfinished()
		if resumption != nil && !resumption.Accept(events) {
			return notResumed(resp.Status)
		}
		if len(events) > 0 {
			if x.began.IsZero() {
				x.began = time.Now()
				x.recordFirstEvent(o.job)
				x.recordBegin(o)
				standby.begun()
			}
			if err := x.deliverEvents(resp, events); err != nil {
				return callerLeft(resp.Status, err)
			}
		}
		if err == nil {
			standby.start()
			continue
		}
		if errors.Is(err, io.EOF) && resumption != nil && !resumption.Proven() && !statesEventStream(resp) {
			return notResumed(resp.Status)
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(resp, buffer.rest())
		}
		result := x.failedAttempt(ctx, err)
		result.status = resp.Status
		return result
	}
}

// resumption returns what checks the events of an attempt; nil for one that begins a response.
func (x *exchange) resumption() *eventstream.Resumption {
	if !x.stream.headerSent.Load() {
		return nil
	}
	return eventstream.NewResumption(x.stream.position)
}

// statesEventStream reports whether the header of a response says that its body consists of
// events.
func statesEventStream(resp *upstream.Response) bool {
	return resp.Header.Get("Content-Type") != "" && isEventStream(resp)
}

// isEventStream reports whether the body of a response consists of events, which it does
// unless its header states another media type.
func isEventStream(resp *upstream.Response) bool {
	stated := resp.Header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(stated)
	return stated == "" || err != nil || media == eventStreamType
}

// finishStream delivers the bytes that follow the last event of a complete stream,
// blank lines or a comment, and the header if it was not sent yet.
func (x *exchange) finishStream(resp *upstream.Response, rest []byte) attemptResult {
	if len(rest) > 0 || !x.stream.headerSent.Load() {
		if err := x.deliverEvents(resp, rest); err != nil {
			return callerLeft(resp.Status, err)
		}
	}
	x.endUnframed()
	return attemptResult{delivered: true, outcome: dispatch.Served, status: resp.Status}
}

// recordFirstEvent reports an attempt's first event to placement and, for the
// first one of the request, records the time to first token.
func (x *exchange) recordFirstEvent(job string) {
	x.gateway.cfg.Placer.Began(job)
	if x.stream.events > 0 {
		return
	}
	x.timeToFirst = time.Since(x.arrived)
	x.gateway.cfg.Metrics.FirstToken(x.organisation, x.route.Name, x.timeToFirst)
}

// deliverEvents writes events to the caller, preceded by the header if it was
// not sent yet.
func (x *exchange) deliverEvents(resp *upstream.Response, events []byte) error {
	if !x.stream.headerSent.Load() {
		x.stream.headerSent.Store(true)
		x.status = resp.Status
		x.setResponseHeader(resp.Header)
		x.beginUnframed()
		x.w.WriteHeader(resp.Status)
	}
	x.recordGap()
	x.trackEvents(events)
	if _, err := x.w.Write(events); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(x.w).Flush())
}

// recordGap records the time since the previous delivery of events.
func (x *exchange) recordGap() {
	now := time.Now()
	if !x.stream.lastDelivery.IsZero() {
		gap := now.Sub(x.stream.lastDelivery)
		x.stream.longestGap = max(x.stream.longestGap, gap)
		x.gateway.cfg.Metrics.BetweenTokens(x.organisation, x.route.Name).Record(gap)
	}
	x.stream.lastDelivery = now
}

// trackEvents stores the ID of the last event and counts the events that have
// one.
func (x *exchange) trackEvents(events []byte) {
	for line := range eventstream.Lines(events) {
		if id, found := eventstream.ID(line); found {
			x.stream.position.Advance(id)
			x.stream.events++
		}
	}
}
