package entry

import (
	"context"
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// maxUnconfirmed is how long ago the copies of the configuration and of the
	// endpoints may have been known to be up to date. While the VM runs, they are
	// confirmed about once a second, or known to be stale.
	maxUnconfirmed = 4 * time.Second
	// confirmationWait bounds the time for which a request waits for the confirmation.
	confirmationWait = 500 * time.Millisecond
	// confirmationInterval is the time between two checks while a request waits.
	confirmationInterval = 5 * time.Millisecond
)

// copyOfTopic is a copy of a topic of the store.
type copyOfTopic interface {
	// Unconfirmed returns how long ago the copy was last known to be up to date.
	Unconfirmed() time.Duration
}

// freshness tells whether the copies of the store's topics are up to date. They are not
// after the VM was suspended: its requests then wait until the copies are confirmed,
// as an endpoint may have left, or a key been revoked, in the meantime. It implements
// gateway.Freshness.
type freshness struct {
	log *event.Logger
	// copies returns the copies; none before the VM has joined.
	copies func() []copyOfTopic
	// suspended is set from the discovery of a suspension to the next confirmation.
	suspended atomic.Bool
}

// Await returns once the copies are confirmed, or the wait or the context has ended.
func (f *freshness) Await(ctx context.Context) {
	age := f.unconfirmed()
	if age <= maxUnconfirmed {
		f.suspended.Store(false)
		return
	}
	if !f.suspended.Swap(true) {
		f.log.Emit(event.VMSuspended{Unconfirmed: age})
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationWait)
	defer cancel()
	ticker := time.NewTicker(confirmationInterval)
	defer ticker.Stop()
	for f.unconfirmed() > maxUnconfirmed {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unconfirmed returns the age of the copy that was confirmed the longest time ago.
func (f *freshness) unconfirmed() time.Duration {
	age := time.Duration(0)
	for _, c := range f.copies() {
		age = max(age, c.Unconfirmed())
	}
	return age
}

// copies returns the copies of the topics that requests depend on.
func (v *VM) copies() []copyOfTopic {
	if !v.hasJoined() {
		return nil
	}
	return []copyOfTopic{v.configuration, v.endpoints}
}
