package platform

import (
	"net"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// faults holds the faults in force. It is safe for concurrent use.
type faults struct {
	mu sync.Mutex
	f  wire.PlatformFaults
}

func (f *faults) set(to wire.PlatformFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.f = to
}

func (f *faults) current() (down bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.f.Down, time.Duration(f.f.DelayMs) * time.Millisecond
}

// loseAnswer reports whether the answer of the current write is to be lost, and
// counts it.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.f.LoseAnswers)
}

// loseRequest reports whether the current write is to be lost before it takes
// effect, and counts it.
func (f *faults) loseRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.f.LoseRequests)
}

// consume decrements n if it is positive and reports whether it did.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func closeConn(c net.Conn) { _ = c.Close() }
