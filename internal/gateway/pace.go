package gateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// TooSlowError reports a body that arrives more slowly than the limits of the configuration allow.
type TooSlowError struct {
	// Received is the number of bytes that have arrived.
	Received int
}

// Error implements error.
func (e *TooSlowError) Error() string {
	return fmt.Sprintf("the body arrives too slowly: %d bytes so far", e.Received)
}

// tooSlow reports whether the error is a TooSlowError.
func tooSlow(err error) bool {
	var slow *TooSlowError
	return errors.As(err, &slow)
}

// pacedBody reads a body, and interrupts the reads once it is too slow. A timer checks the pace, so
// that a body which arrives at once costs no more than that timer.
type pacedBody struct {
	body io.Reader
	// allowed returns the time within which more than the given bytes must have arrived.
	allowed   func(received int64) time.Duration
	interrupt func()
	started   time.Time

	mu       sync.Mutex
	received int64
	timer    *time.Timer
	// stopped is set by stop, and tooSlow once the reads were interrupted.
	stopped, tooSlow bool
}

// newPacedBody returns a pacedBody, whose timer runs until stop. interrupt must end a read in
// progress, and all later ones.
func newPacedBody(body io.Reader, allowed func(received int64) time.Duration, interrupt func()) *pacedBody {
	b := &pacedBody{body: body, allowed: allowed, interrupt: interrupt, started: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(allowed(0), b.check)
	return b
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.mu.Lock()
	b.received += int64(n)
	b.mu.Unlock()
	return n, err //nolint:wrapcheck // an io.Reader returns its source's errors
}

// check interrupts the reads if the body is too slow, and otherwise checks again when it may be.
func (b *pacedBody) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		// The connection may be in use for the next request.
		return
	}
	if left := b.allowed(b.received) - time.Since(b.started); left > 0 {
		b.timer.Reset(left)
		return
	}
	b.tooSlow = true
	b.interrupt()
}

// stop ends the checks, and reports whether the body was too slow.
func (b *pacedBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.timer.Stop()
	return b.tooSlow
}
