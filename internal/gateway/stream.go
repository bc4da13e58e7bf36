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
	// firstEventBuffer is the first size of the buffer for events.
	firstEventBuffer = 2 << 10
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
	// begun says that the head of the answer was delivered.
	begun bool
	// lastEvent is the id of the last event delivered.
	lastEvent string
	// lastAt is when it was delivered.
	lastAt time.Time
	// longest is the longest time between two deliveries.
	longest time.Duration
	events  int
}

// EventError says that an event is longer than any may be.
type EventError struct{ Bytes int }

// Error implements error.
func (e *EventError) Error() string { return "event without an end" }

// relay delivers a stream's events as they come, each in whole. The head goes
// out with the first one, so that a stream that breaks before can be replaced.
func (x *exchange) relay(ctx context.Context, job string, resp *upstream.Response) sendResult {
	began := false
	buffer := make([]byte, 0, firstEventBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				return sendResult{outcome: dispatch.Failed, status: resp.Status, err: errors.WithStack(&EventError{len(buffer)})}
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole := wholeEvents(buffer)
		if whole > 0 {
			if !began {
				began = true
				x.noteBegan(job)
			}
			if err := x.deliverEvents(resp, buffer[:whole]); err != nil {
				return callerLeft(resp.Status, err)
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(resp, buffer)
		}
		if err != nil {
			return x.failedSend(ctx, err)
		}
	}
}

// endStream delivers what follows the last event of a stream that is complete.
func (x *exchange) endStream(resp *upstream.Response, rest []byte) sendResult {
	if len(rest) > 0 || !x.stream.begun {
		if err := x.deliverEvents(resp, rest); err != nil {
			return callerLeft(resp.Status, err)
		}
	}
	return sendResult{delivered: true, outcome: dispatch.Served, status: resp.Status}
}

// wholeEvents is the length of the whole events at the start of the buffer.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// noteBegan tells of a send's first event.
func (x *exchange) noteBegan(job string) {
	x.gateway.cfg.Placer.Began(job)
	if x.stream.events > 0 {
		return
	}
	x.first = time.Since(x.arrived)
	x.gateway.cfg.Metrics.FirstToken(x.organisation, x.route.Name, x.first)
}

// deliverEvents writes events to the caller, after the head where it is due.
func (x *exchange) deliverEvents(resp *upstream.Response, events []byte) error {
	if !x.stream.begun {
		x.stream.begun = true
		x.status = resp.Status
		x.returnHeader(resp.Header)
		x.w.WriteHeader(resp.Status)
	}
	x.notePause()
	x.noteEvents(events)
	if _, err := x.w.Write(events); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(x.w).Flush())
}

// notePause measures the time between two deliveries of events.
func (x *exchange) notePause() {
	now := time.Now()
	if !x.stream.lastAt.IsZero() {
		pause := now.Sub(x.stream.lastAt)
		x.stream.longest = max(x.stream.longest, pause)
		x.gateway.cfg.Metrics.BetweenTokens(x.organisation, x.route.Name).Record(pause)
	}
	x.stream.lastAt = now
}

// noteEvents remembers the last id and counts the events.
func (x *exchange) noteEvents(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		id, found := bytes.CutPrefix(line, eventID)
		if !found {
			continue
		}
		x.stream.lastEvent = string(bytes.TrimSpace(id))
		x.stream.events++
	}
}
