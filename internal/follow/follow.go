// Package follow keeps up with a topic of the platform's store: it lists the
// topic, follows its changes, lists anew when the store has dropped them, and
// says when the store is lost and regained.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

const (
	// wait is the longest that the store holds a call that has no news.
	wait = 20 * time.Second
	// firstPause and longestPause are between two tries while the store fails.
	firstPause   = 50 * time.Millisecond
	longestPause = 700 * time.Millisecond
)

// Observer takes what a topic says. Its methods are called one after the other.
type Observer interface {
	// Listed takes the whole topic.
	Listed(rows []provider.Row)
	// Changed takes rows that changed.
	Changed(rows []provider.Row)
	// Lost and Regained say whether the store answers. A topic begins lost.
	Lost()
	Regained()
}

// Follower follows one topic.
type Follower struct {
	store    provider.Store
	topic    provider.Topic
	observer Observer
	log      *event.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
	// version is what was followed to; zero where the topic must be listed.
	version int64
	reached bool
}

// Start begins to follow the topic.
func Start(store provider.Store, topic provider.Topic, observer Observer, log *event.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{store: store, topic: topic, observer: observer, log: log, cancel: cancel}
	f.done.Go(func() { f.run(ctx) })
	return f
}

// Stop ends following.
func (f *Follower) Stop() {
	f.cancel()
	f.done.Wait()
}

func (f *Follower) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause.Reset()
			f.regained()
			continue
		}
		f.failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff() + rand.N(firstPause)):
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.version == 0 {
		page, err := f.store.List(ctx, f.topic)
		if err != nil {
			return err
		}
		f.regained()
		f.version = page.Version
		f.observer.Listed(page.Rows)
		return nil
	}
	page, err := f.store.Follow(ctx, f.topic, f.version, wait)
	if err != nil {
		return err
	}
	f.regained()
	f.version = max(f.version, page.Version)
	if len(page.Rows) > 0 {
		f.observer.Changed(page.Rows)
	}
	return nil
}

func (f *Follower) failed(err error) {
	var expired *provider.ExpiredError
	if errors.As(err, &expired) {
		f.log.Emit(event.HistoryExpired{Topic: f.topic.String(), Version: f.version})
		f.version = 0
		return
	}
	if f.reached {
		f.log.Emit(event.StoreLost{Topic: f.topic.String(), Version: f.version, Reason: err.Error()})
		f.reached = false
		f.observer.Lost()
	}
}

func (f *Follower) regained() {
	if f.reached {
		return
	}
	f.reached = true
	f.log.Emit(event.StoreRegained{Topic: f.topic.String(), Version: f.version})
	f.observer.Regained()
}
