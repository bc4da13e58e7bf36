package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/clock"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

const (
	// storePollWait is the maximum time for which the store holds a long poll without
	// changes. A poll times out soon after it: if the store does not respond to its
	// watchers, this must be noticed, and the store read by the other VMs, well
	// within the time limit for applying a new configuration.
	storePollWait = 700 * time.Millisecond
	// storePollMargin is added to storePollWait for the timeout of a poll.
	storePollMargin = 500 * time.Millisecond
	// peerPollWait and peerPollMargin are the same for reads from other VMs.
	peerPollWait   = 800 * time.Millisecond
	peerPollMargin = 300 * time.Millisecond
	// standbyTime is how long a VM is polled in place of a preferred one that did not
	// respond, which the membership has declared dead by then.
	standbyTime = 5 * time.Second
	// relayPollWait is peerPollWait for the reads of a relay, which are shorter as what
	// it hands on is as old as they are.
	relayPollWait = 400 * time.Millisecond
	// maxRelayAge is how long ago the copy of a relay may have been known to be up to date
	// for the relay to count as a fresh source: it may have tried one source in vain.
	maxRelayAge = 1500 * time.Millisecond
	// minBackoff is the shortest back-off between two reads while the store fails; random jitter
	// of up to minBackoff is added.
	minBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest one for the watchers and for VMs without a copy; Sources may
	// state a longer one for others.
	MaxBackoff = 500 * time.Millisecond
	// idleInterval is the interval at which an idle source checks whether it is
	// needed.
	idleInterval = 100 * time.Millisecond
	// startInterval is the interval at which a VM that starts checks whether it has got a
	// copy from another one.
	startInterval = 2 * time.Millisecond
)

// Sources selects the sources to follow.
type Sources interface {
	// Watches reports whether this VM is a watcher: one that follows the store on
	// behalf of the others.
	Watches(topic provider.Topic) bool
	// Relays reports whether this VM is a relay: one that follows a watcher, and hands on
	// what it has to VMs that follow it.
	Relays(topic provider.Topic) bool
	// Peers returns the addresses of other VMs to follow, the preferred ones first: for
	// a watcher and a relay the watchers.
	Peers(topic provider.Topic) []string
	// Spread returns the time over which the VMs of a deployment that start together read
	// the store, and false while the VMs to select sources from are not known.
	Spread() (spread time.Duration, known bool)
	// StoreBackoff returns the longest back-off between two reads while the store fails.
	StoreBackoff(topic provider.Topic) time.Duration
}

// Peers makes calls to the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Follower keeps the Mirror of one topic up to date.
type Follower struct {
	*Mirror
	topic   provider.Topic
	store   provider.Store
	peers   Peers
	sources Sources
	log     *event.Logger
	// onEpoch is called when the copy has entered a new epoch of the store.
	onEpoch func(epoch int64)

	cancel context.CancelFunc
	done   sync.WaitGroup

	// confirmedAt is the last reading of clock.Boot at which the copy was known to be
	// up to date, and attemptedAt the one at the start of the last read that has ended.
	confirmedAt atomic.Int64
	attemptedAt atomic.Int64

	mu sync.Mutex
	// storeReachable is true if this VM follows the store and its last call to it
	// succeeded.
	storeReachable bool
	// peerFresh is true if the last poll of the other VMs reached a fresh source, and
	// peersTried if they were polled since this VM last reached
	// the store: before that it is not known whether the copy is stale.
	peerFresh  bool
	peersTried bool

	// standby is the address of a fresh source that was found when the preferred one was
	// none, which takes its place until standbyUntil. Both are used by followPeers only.
	standby      string
	standbyUntil time.Time
}

// Start starts following the topic and returns its Follower, which runs until Stop.
// onEpoch is called when the copy has entered a new epoch of the store.
func Start(topic provider.Topic, observer Observer, store provider.Store, peers Peers, sources Sources, log *event.Logger, onEpoch func(epoch int64)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		Mirror: New(observer), topic: topic, store: store, peers: peers,
		sources: sources, log: log, onEpoch: onEpoch, cancel: cancel,
	}
	f.done.Go(func() { f.followStore(ctx) })
	f.done.Go(func() { f.followPeers(ctx) })
	f.done.Go(func() { f.releaseKeptPeriodically(ctx) })
	return f
}

// Stop stops following and waits until both sources have stopped.
func (f *Follower) Stop() {
	f.cancel()
	f.done.Wait()
}

// followStore follows the store while this VM is a watcher or has no other fresh
// source.
func (f *Follower) followStore(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = minBackoff
	f.awaitCopy(ctx)
	for ctx.Err() == nil {
		if !f.shouldReadStore() {
			f.setStoreReachable(ctx, false, nil)
			sleep(ctx, idleInterval)
			continue
		}
		started := clock.Boot()
		err := f.readStore(ctx)
		if ctx.Err() != nil {
			return
		}
		f.attempted(started)
		f.setStoreReachable(ctx, err == nil, err)
		if err == nil {
			retryDelay.Reset()
			continue
		}
		retryDelay.MaxInterval = f.storeBackoff()
		sleep(ctx, retryDelay.NextBackOff()+rand.N(minBackoff))
	}
}

// storeBackoff returns the longest back-off between two reads while the store fails. A VM without a
// copy can't serve, and reads as often as a watcher.
func (f *Follower) storeBackoff() time.Duration {
	if f.Revision().Version == 0 {
		return MaxBackoff
	}
	return f.sources.StoreBackoff(f.topic)
}

// shouldReadStore reports whether this VM must follow the store itself.
func (f *Follower) shouldReadStore() bool {
	if f.sources.Watches(f.topic) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.peerFresh
}

// readStore lists the topic if the copy is empty, and otherwise makes one long poll.
// If the changes have expired in the store, or are too large for one response, it lists the
// topic again.
func (f *Follower) readStore(ctx context.Context) error {
	started := clock.Boot()
	after := f.Revision()
	if after.Version == 0 {
		return f.listStore(ctx)
	}
	pollCtx, cancel := context.WithTimeout(ctx, storePollWait+storePollMargin)
	defer cancel()
	p, err := f.store.Follow(pollCtx, f.topic, after.Version, storePollWait)
	var expired *provider.ExpiredError
	var large *provider.ResponseTooLargeError
	if errors.As(err, &expired) || errors.As(err, &large) {
		f.log.Emit(event.HistoryExpired{Topic: f.topic.String(), Epoch: after.Epoch, Version: after.Version, Reason: err.Error()})
		err := f.listStore(ctx)
		if large != nil {
			// A store that sends bytes without end is not asked without end.
			sleep(ctx, idleInterval)
		}
		return err
	}
	if err != nil {
		return err
	}
	if p.Epoch != after.Epoch {
		return f.listStore(ctx)
	}
	f.applyChanges(p)
	f.confirm(started)
	f.setStoreReachable(ctx, true, nil)
	return nil
}

func (f *Follower) listStore(ctx context.Context) error {
	started := clock.Boot()
	p, err := f.store.List(ctx, f.topic)
	if err != nil {
		return err
	}
	if !f.enter(p) {
		return errors.WithStack(&StaleEpochError{Epoch: p.Epoch, Known: f.Revision().Epoch})
	}
	f.confirm(started)
	f.setStoreReachable(ctx, true, nil)
	return nil
}

// enter applies a list and logs an entry into a new epoch of the store. It returns
// false for a list of an earlier epoch.
func (f *Follower) enter(p provider.Page) bool {
	change, ok := f.applyList(p)
	if change.entered {
		f.log.Emit(event.StoreRestored{
			Topic: f.topic.String(), Epoch: change.to.Epoch, Version: change.to.Version,
			WasEpoch: change.from.Epoch, Was: change.from.Version,
			Kept: len(change.kept), Rows: joinKeys(change.kept),
		})
		f.onEpoch(change.to.Epoch)
	}
	return ok
}

// maxLoggedKeys bounds the keys of rows that one log line lists.
const maxLoggedKeys = 8

func joinKeys(keys []string) string { return strings.Join(keys[:min(len(keys), maxLoggedKeys)], ",") }

// releaseKeptPeriodically ends the use of rows of earlier epochs that the store does
// not have.
func (f *Follower) releaseKeptPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleInterval)
		if released := f.releaseKept(time.Now()); len(released) > 0 {
			f.log.Emit(event.RowsReleased{Topic: f.topic.String(), Epoch: f.Revision().Epoch, Count: len(released), Rows: joinKeys(released)})
		}
	}
}

// StaleEpochError reports a list of an earlier epoch of the store than the copy's.
type StaleEpochError struct{ Epoch, Known int64 }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("list is of the store's epoch %d, epoch %d is known", e.Epoch, e.Known)
}

// setStoreReachable records whether the store is reachable, and logs a change. err
// is the failure; nil if the store was reached or is not followed.
func (f *Follower) setStoreReachable(ctx context.Context, reachable bool, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	previous := f.storeReachable
	f.storeReachable = reachable
	if reachable {
		f.peersTried = false
	}
	stale := !reachable && !f.peerFresh && f.peersTried
	f.mu.Unlock()
	switch {
	case reachable && !previous:
		f.log.Emit(event.StoreRegained{Topic: f.topic.String(), Epoch: f.Revision().Epoch, Version: f.Revision().Version})
	case !reachable && previous:
		// The VMs polling this one must fail over to another source.
		f.wakeWaiters()
	}
	if !reachable && previous && err != nil {
		f.log.Emit(event.StoreLost{Topic: f.topic.String(), Epoch: f.Revision().Epoch, Version: f.Revision().Version, Reason: err.Error()})
	}
	if reachable || stale {
		f.setStale(stale, time.Now())
	}
}

// confirm records that the copy is as up to date as it was when a call was started that
// has succeeded: its response may have been waiting while the VM was suspended.
func (f *Follower) confirm(started time.Duration) { f.confirmedAt.Store(int64(started)) }

func (f *Follower) attempted(started time.Duration) { f.attemptedAt.Store(int64(started)) }

// Unconfirmed returns how long ago the copy was last known to be up to date, by a
// clock that advances while the VM is suspended. While no source that reaches the
// store responds, the copy is the best that there is: it then returns how long ago
// that was last tried.
func (f *Follower) Unconfirmed() time.Duration {
	since := f.confirmedAt.Load()
	if f.isStale() {
		since = f.attemptedAt.Load()
	}
	return clock.Boot() - time.Duration(since)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
