package lease

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// driver performs the actions of one lease.Lease.
type driver struct {
	manager          *Manager
	name             string
	raise            chan int64
	releaseRequested chan struct{}
	done             chan struct{}

	mu    sync.Mutex
	lease *lease.Lease
	rank  int
	// closing is set during a release; use fails then. users counts the callers
	// of use that have not called done.
	closing bool
	users   sync.WaitGroup
	// nonPreferredSince is the time since which this VM has held the lease without
	// being its first candidate; zero otherwise.
	nonPreferredSince time.Time
}

func (m *Manager) newDriver(name string) (*driver, error) {
	l, err := lease.New(m.cfg, name, m.vm, m.incarnation)
	if err != nil {
		return nil, err
	}
	return &driver{
		manager:          m,
		name:             name,
		raise:            make(chan int64, 1),
		releaseRequested: make(chan struct{}),
		done:             make(chan struct{}),
		lease:            l,
	}, nil
}

// run drives the lease until releaseRequested is closed, and then releases it.
func (d *driver) run() {
	defer close(d.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.manager.stop:
			return
		case <-d.releaseRequested:
			d.release()
			return
		case fencing := <-d.raise:
			d.handle(lease.RaiseAbove{Fencing: fencing})
		case <-tick.C:
			if d.shouldRebalance() {
				d.release()
				continue
			}
			d.handle(lease.Tick{})
		}
	}
}

// use registers the caller as a user of the lease if the lease is valid now and
// for the time within. It returns the fencing number and the function that ends
// the use.
func (d *driver) use(within time.Duration) (int64, func(), bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing || !d.lease.Valid(d.manager.now().Add(within)) || !d.lease.Valid(d.manager.now()) {
		return 0, nil, false
	}
	d.users.Add(1)
	return d.lease.Fencing(), d.users.Done, true
}

func (d *driver) valid(within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closing && d.lease.Valid(d.manager.now().Add(within))
}

func (d *driver) setRank(rank int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rank = rank
	d.lease.SetRank(rank)
}

// shouldRebalance reports whether another VM has been the first candidate for
// longer than rebalanceDelay, so that this VM should release the lease.
func (d *driver) shouldRebalance() bool {
	if !d.heldAsNonPreferred() {
		d.nonPreferredSince = time.Time{}
		return false
	}
	if d.nonPreferredSince.IsZero() {
		d.nonPreferredSince = time.Now()
	}
	return time.Since(d.nonPreferredSince) > rebalanceDelay
}

// heldAsNonPreferred reports whether this VM holds the lease without being its
// first candidate.
func (d *driver) heldAsNonPreferred() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rank != 0 && d.lease.Valid(d.manager.now())
}

// release waits until all users are done and then releases the lease's row. It
// returns at the latest when the lease itself has ended.
func (d *driver) release() {
	d.setClosing(true)
	defer d.setClosing(false)
	d.users.Wait()
	d.nonPreferredSince = time.Time{}
	d.handle(lease.ReleaseNow{})
	for d.state() == "releasing" {
		select {
		case <-d.manager.stop:
			return
		case <-time.After(tickInterval):
			d.handle(lease.Tick{})
		}
	}
}

func (d *driver) setClosing(closing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = closing
}

func (d *driver) state() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return string(d.lease.State())
}

// handle processes an event, performs the resulting actions and processes the
// events that they result in.
func (d *driver) handle(ev lease.Event) {
	for ev != nil {
		d.mu.Lock()
		actions, err := d.lease.Handle(d.manager.now(), ev)
		d.mu.Unlock()
		if err != nil {
			d.manager.log.Emit(event.LeaseFault{Lease: d.name, Reason: err.Error()})
			return
		}
		ev = d.perform(actions)
	}
}

func (d *driver) perform(actions []lease.Action) lease.Event {
	var next lease.Event
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Read:
			next = d.read(a)
		case lease.Write:
			next = d.write(a)
		case lease.Start:
			d.manager.log.Emit(event.LeaseStarted{Lease: d.name, Fencing: a.Fencing})
		case lease.Stop:
			d.manager.log.Emit(event.LeaseStopped{Lease: d.name, Fencing: a.Fencing})
		}
	}
	return next
}

func (d *driver) read(a lease.Read) lease.Event {
	row, err := d.manager.store.Get(a.Key)
	if err != nil {
		return lease.ReadFailed{}
	}
	return lease.RowRead{Row: row}
}

func (d *driver) write(a lease.Write) lease.Event {
	result, outcome, err := d.manager.store.Try(platform.ClassControlWrite, a.Txn, a.Within)
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
