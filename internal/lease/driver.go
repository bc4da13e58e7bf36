package lease

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// keeper drives one lease.
type keeper struct {
	manager  *Manager
	name     string
	raise    chan int64
	unwanted chan struct{}
	done     chan struct{}

	mu    sync.Mutex
	lease *lease.Lease
	rank  int
	// closing lets nobody begin to act under the lease; users counts who does.
	closing bool
	users   sync.WaitGroup
	// misplaced is since when another VM has been the first candidate.
	misplaced time.Time
}

func (m *Manager) newKeeper(name string) (*keeper, error) {
	l, err := lease.New(m.cfg, name, m.vm, m.incarnation)
	if err != nil {
		return nil, err
	}
	return &keeper{
		manager:  m,
		name:     name,
		raise:    make(chan int64, 1),
		unwanted: make(chan struct{}),
		done:     make(chan struct{}),
		lease:    l,
	}, nil
}

// run drives the lease until it is unwanted, and then releases it.
func (k *keeper) run() {
	defer close(k.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.manager.stop:
			return
		case <-k.unwanted:
			k.release()
			return
		case fencing := <-k.raise:
			k.feed(lease.RaiseAbove{Fencing: fencing})
		case <-tick.C:
			if k.shouldMove() {
				k.release()
				continue
			}
			k.feed(lease.Tick{})
		}
	}
}

// use counts the caller in, if the lease lasts for the time.
func (k *keeper) use(within time.Duration) (int64, func(), bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing || !k.lease.Valid(k.manager.now().Add(within)) || !k.lease.Valid(k.manager.now()) {
		return 0, nil, false
	}
	k.users.Add(1)
	return k.lease.Fencing(), k.users.Done, true
}

func (k *keeper) valid(within time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.closing && k.lease.Valid(k.manager.now().Add(within))
}

func (k *keeper) setRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rank = rank
	k.lease.SetRank(rank)
}

// shouldMove reports whether another VM has been the first candidate for so
// long that the lease is handed over.
func (k *keeper) shouldMove() bool {
	if !k.misheld() {
		k.misplaced = time.Time{}
		return false
	}
	if k.misplaced.IsZero() {
		k.misplaced = time.Now()
	}
	return time.Since(k.misplaced) > rebalanceAfter
}

// misheld reports whether this VM holds the lease without being its first
// candidate.
func (k *keeper) misheld() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rank != 0 && k.lease.Valid(k.manager.now())
}

// release lets whoever acts under the lease finish, and then releases the row.
// It ends at the latest with the lease itself.
func (k *keeper) release() {
	k.setClosing(true)
	defer k.setClosing(false)
	k.users.Wait()
	k.misplaced = time.Time{}
	k.feed(lease.ReleaseNow{})
	for k.state() == "releasing" {
		select {
		case <-k.manager.stop:
			return
		case <-time.After(tickInterval):
			k.feed(lease.Tick{})
		}
	}
}

func (k *keeper) setClosing(closing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = closing
}

func (k *keeper) state() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return string(k.lease.State())
}

// feed hands the lease an event, and those that answer its actions.
func (k *keeper) feed(ev lease.Event) {
	for ev != nil {
		k.mu.Lock()
		actions, err := k.lease.Handle(k.manager.now(), ev)
		k.mu.Unlock()
		if err != nil {
			k.manager.log.Emit(event.LeaseFault{Lease: k.name, Reason: err.Error()})
			return
		}
		ev = k.carryOut(actions)
	}
}

func (k *keeper) carryOut(actions []lease.Action) lease.Event {
	var next lease.Event
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			next = k.read(a)
		case lease.Write:
			next = k.write(a)
		case lease.Start:
			k.manager.log.Emit(event.LeaseStarted{Lease: k.name, Fencing: a.Fencing})
		case lease.Stop:
			k.manager.log.Emit(event.LeaseStopped{Lease: k.name, Fencing: a.Fencing})
		}
	}
	return next
}

func (k *keeper) read(a lease.Read) lease.Event {
	row, err := k.manager.store.Get(a.Key)
	if err != nil {
		return lease.ReadFailed{}
	}
	return lease.RowRead{Row: row}
}

func (k *keeper) write(a lease.Write) lease.Event {
	result, outcome, err := k.manager.store.Try(platform.ClassControlWrite, a.Txn, a.Within)
	switch {
	case outcome == platform.OutcomeApplied:
		return lease.Written{Outcome: lease.WriteApplied, Result: result}
	case outcome == platform.OutcomeUnknown:
		return lease.Written{Outcome: lease.WriteUnknown}
	case err != nil:
		return lease.Written{Outcome: lease.WriteRefused}
	}
	return lease.Written{Outcome: lease.WriteFailed, Result: result}
}
