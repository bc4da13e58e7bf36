package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/buffers"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// initialBodyBuffer is the initial size of the buffer for a body, in bytes.
const initialBodyBuffer = 512

// reasonMemoryUsedUp is the reason of a refusal, in the log, because the memory for buffers has no
// room for the body of the request.
const reasonMemoryUsedUp = "memory_used_up"

const (
	// memoryRetryAfter is the Retry-After of such a refusal.
	memoryRetryAfter = time.Second
	// copyBuffer is the size of the buffer through which a response is delivered as it arrives,
	// in bytes.
	copyBuffer = 8 << 10
)

// bodyBuffer reads a body into memory that is taken as the body arrives.
type bodyBuffer struct {
	memory *membudget.Holder
	// take takes memory; it is a method of memory.
	take  func(n int) error
	bytes []byte
}

// fill reads the body until it ends or has more bytes than the limit; zero means no limit.
// expected is the length that it states, or -1. It reports whether the body has ended. The error is
// a membudget.UsedUpError or that of the body.
func (b *bodyBuffer) fill(body io.Reader, limit int, expected int64) (ended bool, err error) {
	for limit <= 0 || len(b.bytes) <= limit {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(limit, expected); err != nil {
				return false, err
			}
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return limit <= 0 || len(b.bytes) <= limit, nil
		}
		if err != nil {
			return false, err //nolint:wrapcheck // callers tell the body's errors
		}
	}
	return false, nil
}

// grow doubles the buffer, up to one byte more than may come.
func (b *bodyBuffer) grow(limit int, expected int64) error {
	size := max(initialBodyBuffer, 2*cap(b.bytes))
	if cap(b.bytes) == 0 && expected < membudget.Uncounted {
		// A small body gets its buffer at once.
		size = max(size, int(expected)+1)
	}
	if expected >= int64(cap(b.bytes)) && expected < int64(size) {
		size = int(expected) + 1
	}
	if limit > 0 {
		size = min(size, limit+1)
	}
	if err := b.take(size); err != nil {
		return err
	}
	was := cap(b.bytes)
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	b.memory.Shrink(was)
	return nil
}

// usedUp reports whether an error means that the memory for buffers is used up.
func usedUp(err error) bool {
	var e *membudget.UsedUpError
	return errors.As(err, &e)
}

// readBuffered reads up to bufferLimit of a response. A response that can be delivered as it
// arrives is buffered only as far as there is plenty of memory; complete is false then as well. The
// response does not give way any more if there is no error.
func (x *exchange) readBuffered(resp *upstream.Response, sealed bool) (body []byte, complete bool, err error) {
	b := bodyBuffer{memory: resp.Memory, take: resp.Memory.Grow}
	replaceable := x.canPassThrough(resp, sealed)
	if replaceable {
		b.take = resp.Memory.GrowReplaceable
	}
	complete, err = b.fill(resp.Body, x.bufferLimit(), resp.Length)
	if replaceable && usedUp(err) && resp.Memory.Err() == nil {
		err = nil
	}
	if err == nil {
		err = resp.Memory.Pin()
	}
	return b.bytes, complete, err
}

// canPassThrough reports whether a response may be delivered as it arrives in place of once it is
// complete: it will be delivered unchanged, and the caller can see whether it breaks off. A response
// that ends with its connection may not, as an endless one looks the same, nor may one that must not
// be cut by the exit of the VM.
func (x *exchange) canPassThrough(resp *upstream.Response, sealed bool) bool {
	if x.gateway.afterLate(x.arrived) {
		return false
	}
	proven := sealed || resp.Status >= http.StatusMultipleChoices
	return proven && !x.stream.headerSent.Load() && resp.Status < http.StatusInternalServerError && !impliesNotRun(resp.Status) && resp.Framing != upstream.ByClose
}

// retain keeps a server error for the case that no other endpoint serves the request, as long as
// there is plenty of memory: it gives way to other responses. It takes the place of the one before.
func (x *exchange) retain(resp *upstream.Response, buffered *bufferedResponse) error {
	x.failureResponse = nil
	x.retention.Close()
	x.retention = x.gateway.cfg.Memory.Hold(buffers.Responses, buffered.gaveWay)
	return x.retention.GrowReplaceable(resp.Memory.Held()) //nolint:wrapcheck // it has its stack
}

// gaveWay drops the response. Its memory's lock guards it until takeRetained.
func (r *bufferedResponse) gaveWay() { r.header, r.body = nil, nil }

// takeRetained returns the server error that is retained; nil if there is none any more.
func (x *exchange) takeRetained() *bufferedResponse {
	if x.failureResponse == nil || x.retention.Pin() != nil {
		return nil
	}
	return x.failureResponse
}

// writerOnly hides the other methods of a writer, so that io.CopyBuffer uses the buffer that it is
// given.
type writerOnly struct{ io.Writer }

// releaseMemory gives the memory of the request's body, and of what is retained, back. The body is
// kept while an endpoint still gets the rest of it.
func (x *exchange) releaseMemory() {
	x.retention.Close()
	if len(x.lingering) == 0 {
		x.memory.Close()
		return
	}
	go func() {
		defer x.memory.Close()
		for _, done := range x.lingering {
			<-done
		}
	}()
}

// refuseMemory refuses a request whose body has no room in the memory.
func (x *exchange) refuseMemory() {
	x.gateway.cfg.Log.Emit(event.RequestRefused{
		Request: x.call.ID, Reason: reasonMemoryUsedUp, Holder: x.gateway.cfg.VM, RetryAfter: memoryRetryAfter,
	})
	x.fail(failNotRun, memoryRetryAfter)
}
