package platform

import (
	"net"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// faults holds the faults in force.
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

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.f.LoseAnswers)
}

func (f *faults) loseRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.f.LoseRequests)
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func closeConn(c net.Conn) { _ = c.Close() }
