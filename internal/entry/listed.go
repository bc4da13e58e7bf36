package entry

import (
	"sync"
	"time"
)

const (
	// listWait is how long a VM that starts waits for the list of the VMs before it
	// selects among the ones that it knows.
	listWait = 500 * time.Millisecond
	// listTrust is how long after its start a VM takes listed VMs of which it knows
	// nothing else for live ones.
	listTrust = 3 * time.Second
)

// listedVMs are the VMs that the store listed when this VM started. VMs that start
// together have read the same list, so that they select the same watchers, relays and
// holders before they have found each other. It is safe for concurrent use.
type listedVMs struct {
	started time.Time

	mu  sync.Mutex
	vms []liveVM
	// known is set once a list that was not empty was read, however late.
	known bool
}

func newListedVMs() *listedVMs { return &listedVMs{started: time.Now()} }

// set replaces the listed VMs, and reports whether they matter still.
func (l *listedVMs) set(vms []liveVM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = l.known || len(vms) > 0
	if time.Since(l.started) > listTrust {
		return false
	}
	l.vms = vms
	return true
}

// everRead reports whether the list was read, however late.
func (l *listedVMs) everRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// read reports whether the list was read while it matters.
func (l *listedVMs) read() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.vms) > 0
}

// count returns the number of VMs that were listed.
func (l *listedVMs) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.vms)
}

// overdue reports whether the list was waited for in vain.
func (l *listedVMs) overdue() bool { return time.Since(l.started) > listWait }

// trusted returns the listed VMs other than the given ones, whose state is known; none
// after listTrust.
func (l *listedVMs) trusted(known map[string]bool) []liveVM {
	if time.Since(l.started) > listTrust {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []liveVM
	for _, m := range l.vms {
		if !known[m.name] {
			others = append(others, m)
		}
	}
	return others
}
