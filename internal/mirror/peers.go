package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/clock"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// followPeers follows another VM while this one is not a watcher or cannot reach
// the store.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.isStoreReachable() && f.sources.Watches(f.topic) {
			sleep(ctx, idleInterval)
			continue
		}
		if _, known := f.sources.Spread(); !known {
			sleep(ctx, startInterval)
			continue
		}
		started := clock.Boot()
		fresh := f.readPeers(ctx)
		f.attempted(started)
		f.setPeerFresh(fresh)
		switch {
		case fresh:
		case f.Revision().Version == 0:
			// The sources may be starting too.
			sleep(ctx, rand.N(minBackoff))
		default:
			sleep(ctx, minBackoff+rand.N(minBackoff))
		}
	}
}

func (f *Follower) isStoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeReachable
}

// setPeerFresh records whether another VM supplies fresh rows.
func (f *Follower) setPeerFresh(fresh bool) {
	f.mu.Lock()
	lost := f.peerFresh && !fresh
	f.peerFresh = fresh
	// A poll that ends after the store was reached began before that.
	f.peersTried = !f.storeReachable
	f.mu.Unlock()
	if lost {
		// The VMs polling this one, if it is a relay, must fail over to another source.
		f.wakeWaiters()
	}
}

// source reports whether this VM is a fresh source for others, and how long ago its copy
// was known to be up to date: zero if it reaches the store. A relay is one as long as
// another source was fresh for it. That its age counts keeps relays that follow each
// other from taking each other for fresh.
func (f *Follower) source() (age time.Duration, fresh bool) {
	f.mu.Lock()
	reachable, peerFresh := f.storeReachable, f.peerFresh
	f.mu.Unlock()
	if reachable {
		return 0, true
	}
	if !peerFresh || !f.sources.Relays(f.topic) {
		return 0, false
	}
	age = f.Unconfirmed()
	return age, age <= maxRelayAge
}

// readPeers polls the preferred VM. If that is no fresh source, or doesn't respond, it reads
// from all others at once, so that several VMs that don't respond take no longer than two, and the
// store is read well within the time limit for applying a new configuration. It reports whether
// there was a fresh source. Rows from the others are applied as well.
func (f *Follower) readPeers(ctx context.Context) bool {
	addresses := f.preferStandby(f.sources.Peers(f.topic))
	if len(addresses) == 0 {
		return false
	}
	wait := peerPollWait
	if f.sources.Relays(f.topic) {
		wait = relayPollWait
	}
	if f.readPeer(ctx, addresses[0], wait) {
		return true
	}
	f.standby = f.readAny(ctx, addresses[1:])
	f.standbyUntil = time.Now().Add(standbyTime)
	return f.standby != ""
}

// preferStandby moves the standby, if there is one, to the front of the addresses.
func (f *Follower) preferStandby(addresses []string) []string {
	if i := slices.Index(addresses, f.standby); i > 0 && time.Now().Before(f.standbyUntil) {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	return addresses
}

// readAny reads from all VMs at once, without waiting for changes, and returns the address of
// the first one that responds and is a fresh source; empty if none is.
func (f *Follower) readAny(ctx context.Context, addresses []string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			if !f.readPeer(ctx, address, 0) {
				address = ""
			}
			responses <- address
		}()
	}
	found := ""
	for range addresses {
		if address := <-responses; address != "" && found == "" {
			found = address
			cancel()
		}
	}
	return found
}

// Pull reads the topic once, without waiting for changes, from a VM that may have
// later rows.
func (f *Follower) Pull(ctx context.Context, address string) {
	if m, ok := f.fetchPeer(ctx, address, 0); ok {
		f.apply(m)
	}
}

// readPeer makes one poll of a VM, which may hold it for the wait time, and reports whether
// that VM is a fresh source.
func (f *Follower) readPeer(ctx context.Context, address string, wait time.Duration) bool {
	started := clock.Boot()
	m, ok := f.fetchPeer(ctx, address, wait)
	if !ok {
		return false
	}
	if !m.Stale && f.Revision().Version == 0 {
		// followStore begins as soon as there is a copy, and reads the store unless it knows of
		// a fresh source by then.
		f.setPeerFresh(true)
	}
	if !f.apply(m) || m.Stale {
		return false
	}
	f.confirm(started - time.Duration(m.AgeMs)*time.Millisecond)
	f.setStale(false, m.restored(time.Now()))
	return true
}

// fetchPeer reads the topic from a VM, which may hold the call for the wait time. It returns
// false if the call failed or the VM has no copy.
func (f *Follower) fetchPeer(ctx context.Context, address string, wait time.Duration) (pageMessage, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerPollMargin)
	defer cancel()
	var m pageMessage
	after := f.Revision()
	request := readMessage{
		Topic: f.topic, After: after.Version, AfterEpoch: &after.Epoch, Kept: f.Kept(), WaitMs: wait.Milliseconds(), Packed: true,
	}
	if _, err := f.peers.Call(ctx, address, methodRead, request, &m); err != nil || m.NoCopy {
		return m, false
	}
	if err := m.unpack(); err != nil {
		f.log.Emit(event.RowsUnreadable{Topic: f.topic.String(), Address: address, Reason: err.Error()})
		return m, false
	}
	return m, true
}

// apply applies another VM's rows. It returns false if they are of an earlier epoch.
func (f *Follower) apply(m pageMessage) bool {
	if m.Full {
		if !f.enter(m.page()) {
			return false
		}
	} else if !f.applyChanges(m.page()) {
		return false
	}
	if len(m.Kept) > 0 {
		f.applyKept(m.kept(), m.Epoch, time.Duration(m.KeptMs)*time.Millisecond)
	}
	return true
}
