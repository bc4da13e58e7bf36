package platform

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// vmList shows its changes after a lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   []wire.VM
	pending []change
}

// change is a list that is shown from its due time on.
type change struct {
	due time.Time
	vms []wire.VM
}

func (l *vmList) set(vms []wire.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{time.Now().Add(l.lag), vms})
}

func (l *vmList) get() []wire.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.shown = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.shown
}
