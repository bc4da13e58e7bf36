package platform

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// vmList is a VM list whose changes become visible after a lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   []wire.VM
	pending []pendingList
}

// pendingList is a VM list that becomes visible at showAt.
type pendingList struct {
	showAt time.Time
	vms    []wire.VM
}

func (l *vmList) set(vms []wire.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingList{time.Now().Add(l.lag), vms})
}

func (l *vmList) get() []wire.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].showAt.After(now) {
		l.shown = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.shown
}
