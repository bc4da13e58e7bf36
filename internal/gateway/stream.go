package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// initialEventBuffer is the first size of the buffer for events.
	initialEventBuffer = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	eventID      = []byte("id:")
)

// stream is what the caller has of a stream.
type stream struct {
	// headerSent says that the head of the answer was delivered.
	headerSent bool
	// lastEventID is the id of the last event delivered.
	lastEventID string
	// lastDelivery is when it was delivered.
	lastDelivery time.Time
	// longestGap is the longest time between two deliveries.
	longestGap time.Duration
	events     int
}

// EventTooLongError says that an event is longer than any may be.
type EventTooLongError struct{ Bytes int }

// Error implements error.
func (e *EventTooLongError) Error() string { return "event exceeds the size limit" }

// relayStream delivers a stream's events as they come, each in whole. The head goes
// out with the first one, so that a stream that breaks before can be replaced.
func (x *exchange) relayStream(ctx context.Context, job string, resp *upstream.Response) attemptResult {
	began := false
	buffer := make([]byte, 0, initialEventBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				return attemptResult{outcome: dispatch.Failed, status: resp.Status, err: errors.WithStack(&EventTooLongError{len(buffer)})}
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		complete := completeEvents(buffer)
		if complete > 0 {
			if !began {
				began = true
				x.recordFirstEvent(job)
			}
			if err := x.deliverEvents(resp, buffer[:complete]); err != nil {
				return callerLeft(resp.Status, err)
			}
			buffer = append(buffer[:0], buffer[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(resp, buffer)
		}
		if err != nil {
			return x.failedAttempt(ctx, err)
		}
	}
}

// finishStream delivers what follows the last event of a stream that is complete.
func (x *exchange) finishStream(resp *upstream.Response, rest []byte) attemptResult {
	if len(rest) > 0 || !x.stream.headerSent {
		if err := x.deliverEvents(resp, rest); err != nil {
			return callerLeft(resp.Status, err)
		}
	}
	return attemptResult{delivered: true, outcome: dispatch.Served, status: resp.Status}
}

// completeEvents is the length of the whole events at the start of the buffer.
func completeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// recordFirstEvent tells of a send's first event.
func (x *exchange) recordFirstEvent(job string) {
	x.gateway.cfg.Placer.Began(job)
	if x.stream.events > 0 {
		return
	}
	x.timeToFirst = time.Since(x.arrived)
	x.gateway.cfg.Metrics.FirstToken(x.organisation, x.route.Name, x.timeToFirst)
}

// deliverEvents writes events to the caller, after the head where it is due.
func (x *exchange) deliverEvents(resp *upstream.Response, events []byte) error {
	if !x.stream.headerSent {
		x.stream.headerSent = true
		x.status = resp.Status
		x.setResponseHeader(resp.Header)
		x.w.WriteHeader(resp.Status)
	}
	x.recordGap()
	x.trackEvents(events)
	if _, err := x.w.Write(events); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(x.w).Flush())
}

// recordGap measures the time between two deliveries of events.
func (x *exchange) recordGap() {
	now := time.Now()
	if !x.stream.lastDelivery.IsZero() {
		gap := now.Sub(x.stream.lastDelivery)
		x.stream.longestGap = max(x.stream.longestGap, gap)
		x.gateway.cfg.Metrics.BetweenTokens(x.organisation, x.route.Name).Record(gap)
	}
	x.stream.lastDelivery = now
}

// trackEvents remembers the last id and counts the events.
func (x *exchange) trackEvents(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		id, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		x.stream.lastEventID = string(bytes.TrimSpace(id))
		x.stream.events++
	}
}
