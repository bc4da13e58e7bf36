package gateway

import (
	"io"

	"github.com/pkg/errors"

	eventstream "cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// initialEventBuffer is the initial size of the event buffer, in bytes.
	initialEventBuffer = 2 << 10
	// largeEventBuffer is the size from which the buffer becomes smaller after a large event.
	largeEventBuffer = 64 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// EventTooLongError reports an event that exceeds maxEventBytes.
type EventTooLongError struct{ Bytes int }

// Error implements error.
func (e *EventTooLongError) Error() string { return "event exceeds the size limit" }

// UnfinishedEventError reports a stream that ended inside an event: it was broken off,
// also if the end of its body was marked.
type UnfinishedEventError struct{ Bytes int }

// Error implements error.
func (e *UnfinishedEventError) Error() string { return "stream ended inside an event" }

// Unwrap returns the end of the connection, as which the error counts.
func (e *UnfinishedEventError) Unwrap() error { return io.ErrUnexpectedEOF }

// NoEventError reports a stream that ended with its connection before its first event,
// as where its endpoint crashed after it had sent the header.
type NoEventError struct{}

// Error implements error.
func (*NoEventError) Error() string { return "stream ended with its connection before its first event" }

// Unwrap returns the end of the connection, as which the error counts.
func (*NoEventError) Unwrap() error { return io.ErrUnexpectedEOF }

// eventBuffer splits the body of a stream into complete events and the bytes that
// follow them.
type eventBuffer struct {
	body io.Reader
	// endMarked is set if the end of the body is marked by other means than the end of
	// the connection.
	endMarked bool
	scanner   eventstream.Scanner
	// memory holds what the buffer has beyond its initial size.
	memory *membudget.Holder
	// buffered holds the bytes that were read; the first complete of them are events
	// that next has returned.
	buffered []byte
	complete int
	// repeated is set if next is to return the same events again, with repeatedErr.
	repeated    bool
	repeatedErr error
}

func newEventBuffer(resp *upstream.Response) *eventBuffer {
	return &eventBuffer{
		body: resp.Body, endMarked: resp.Framing != upstream.ByClose, memory: resp.Memory, buffered: make([]byte, 0, initialEventBuffer),
	}
}

// next reads once and returns the events that are complete by then, if any. They are
// valid until the next call. The error is io.EOF at the end of a complete stream, an
// UnfinishedEventError, a NoEventError, an EventTooLongError, a membudget.UsedUpError or that of
// the body. What it returns does not give way while it is delivered.
func (b *eventBuffer) next() ([]byte, error) {
	if b.repeated {
		b.repeated = false
		return b.buffered[:b.complete], b.repeatedErr
	}
	b.dropComplete()
	if err := b.makeRoom(); err != nil {
		return nil, err
	}
	if err := b.memory.Unpin(); err != nil {
		return nil, err //nolint:wrapcheck // it has its stack
	}
	events, err := b.read()
	if failure := b.memory.Pin(); failure != nil {
		return nil, failure //nolint:wrapcheck // it has its stack
	}
	return events, err
}

// dropComplete removes the events that were returned. After a large one the buffer becomes smaller.
func (b *eventBuffer) dropComplete() {
	rest := b.buffered[b.complete:]
	b.complete = 0
	was := cap(b.buffered)
	if was < largeEventBuffer || len(rest) >= initialEventBuffer {
		b.buffered = append(b.buffered[:0], rest...)
		return
	}
	b.buffered = append(make([]byte, 0, initialEventBuffer), rest...)
	b.memory.Shrink(was)
}

// read reads once and returns the events that are complete by then.
func (b *eventBuffer) read() ([]byte, error) {
	scanned := len(b.buffered)
	n, err := b.body.Read(b.buffered[scanned:cap(b.buffered)])
	b.buffered = b.buffered[:scanned+n]
	if end := b.scanner.Scan(b.buffered[scanned:]); end > 0 {
		b.complete = scanned + end
	}
	if errors.Is(err, io.EOF) {
		err = b.end()
	}
	return b.buffered[:b.complete], err
}

// repeat makes the following call of next return the same events as the last one, with the error.
func (b *eventBuffer) repeat(err error) { b.repeated, b.repeatedErr = true, err }

// end returns io.EOF if the stream is complete where its body has ended, and otherwise
// why it is not.
func (b *eventBuffer) end() error {
	switch {
	case b.scanner.InEvent():
		return errors.WithStack(&UnfinishedEventError{b.unfinished()})
	case !b.endMarked && !b.scanner.Ended():
		return errors.WithStack(&NoEventError{})
	}
	return io.EOF
}

// makeRoom doubles the buffer if an event fills it.
func (b *eventBuffer) makeRoom() error {
	if len(b.buffered) < cap(b.buffered) {
		return nil
	}
	if len(b.buffered) >= maxEventBytes {
		return errors.WithStack(&EventTooLongError{len(b.buffered)})
	}
	was := cap(b.buffered)
	if err := b.memory.Grow(2 * was); err != nil {
		return err //nolint:wrapcheck // it has its stack
	}
	b.buffered = append(make([]byte, 0, 2*was), b.buffered...)
	if was > initialEventBuffer {
		b.memory.Shrink(was)
	}
	return nil
}

// rest returns the bytes that follow the complete events.
func (b *eventBuffer) rest() []byte { return b.buffered[b.complete:] }

// unfinished returns the number of bytes of an event that is not complete.
func (b *eventBuffer) unfinished() int {
	if !b.scanner.InEvent() {
		return 0
	}
	return len(b.rest())
}
