package entry

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cornelsaddle.example/cornelsaddle/internal/mirror"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// watcherCount is the number of VMs that follow each topic of the store on behalf
// of the others. With two, one may be cut off from the store.
const watcherCount = 2

const (
	// relayCount is the number of VMs of a failure domain that follow the watchers on
	// behalf of the others there. With two, one may be cut off.
	relayCount = 2
	// minRelayedVMs is the number of VMs from which a failure domain has relays: with
	// fewer, what they save is not worth another step.
	minRelayedVMs = 8
	// listSpreadPerVM is the time by which one more VM lengthens the time over which VMs
	// that start together read a topic from the store, if they get it from no other VM.
	listSpreadPerVM = 10 * time.Millisecond
	// listsAtOnce is the number of VMs that read a topic from the store without a spread,
	// when they start together: with fewer, waiting for another one takes longer.
	listsAtOnce = 50
	// choiceTries is the number of hash keys tried for a choice of VMs.
	choiceTries = 16
	// backoffVMs is the number of VMs from which the back-off of those that don't watch a failing
	// store grows with their number, up to maxStoreBackoff: the calls of all would grow with it
	// otherwise, though the watchers tell the others once the store is back. The limit is well
	// below the time after an outage from which the VMs must be up to date.
	backoffVMs      = 16
	maxStoreBackoff = 2 * time.Second
)

// liveVM is a VM that is neither dead nor leaving.
type liveVM struct {
	name string
	// address is that at which other VMs reach it.
	address string
	domain  string
}

// watchers selects, by rendezvous hashing over the live VMs, those that follow the
// store directly, and the relays of this VM's failure domain, which follow those. It
// implements mirror.Sources and is safe for concurrent use.
type watchers struct {
	self   string
	domain string

	listed *listedVMs

	mu   sync.Mutex
	live []liveVM
	// complete is set once the live VMs include the listed ones, for as long as those count.
	complete bool
	ring     *rendezvous.Rendezvous
	// relays are the VMs of the failure domain; nil if it has no relays.
	relays *rendezvous.Rendezvous
}

func newWatchers(self, domain string, listed *listedVMs) *watchers {
	return &watchers{self: self, domain: domain, listed: listed}
}

// set replaces the live VMs; complete is set if the listed ones were known.
func (w *watchers) set(live []liveVM, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live, w.complete = live, complete
	names := make([]string, 0, len(live))
	var near []string
	for _, m := range live {
		names = append(names, m.name)
		if m.domain == w.domain {
			near = append(near, m.name)
		}
	}
	w.ring = rendezvous.New(names, xxhash.Sum64String)
	w.relays = nil
	if len(near) >= minRelayedVMs {
		w.relays = rendezvous.New(near, xxhash.Sum64String)
	}
}

// choose returns up to a number of VMs of the ring for a topic, and none of the excluded
// ones. It returns fewer if the ring has fewer, or if too many hash keys select VMs that
// others have selected.
func choose(ring *rendezvous.Rendezvous, topic provider.Topic, count int, excluded map[string]bool) map[string]bool {
	chosen := make(map[string]bool, count)
	for i := 0; len(chosen) < count && i < choiceTries; i++ {
		if vm := ring.Lookup(topic.String() + "/" + strconv.Itoa(i)); !excluded[vm] {
			chosen[vm] = true
		}
	}
	return chosen
}

// watchersOf returns the names of the topic's watchers; the lock is held.
func (w *watchers) watchersOf(topic provider.Topic) map[string]bool {
	if len(w.live) == 0 {
		return nil
	}
	return choose(w.ring, topic, watcherCount, nil)
}

// relaysOf returns the names of the topic's relays in this VM's failure domain, which are
// not among its watchers; the lock is held.
func (w *watchers) relaysOf(topic provider.Topic) map[string]bool {
	if w.relays == nil {
		return nil
	}
	return choose(w.relays, topic, relayCount, w.watchersOf(topic))
}

// Watches implements mirror.Sources. Without other live VMs, this VM watches every
// topic.
func (w *watchers) Watches(topic provider.Topic) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.live) <= 1 || w.watchersOf(topic)[w.self]
}

// Relays implements mirror.Sources.
func (w *watchers) Relays(topic provider.Topic) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relaysOf(topic)[w.self]
}

// Spread implements mirror.Sources. It grows with the number of VMs, so that they read
// the store at a rate that doesn't.
func (w *watchers) Spread() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(max(0, len(w.live)-listsAtOnce)) * listSpreadPerVM, w.complete || w.listed.overdue()
}

// StoreBackoff implements mirror.Sources.
func (w *watchers) StoreBackoff(topic provider.Topic) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watchersOf(topic)[w.self] {
		return mirror.MaxBackoff
	}
	grown := mirror.MaxBackoff * time.Duration(len(w.live)) / backoffVMs
	return min(max(mirror.MaxBackoff, grown), maxStoreBackoff)
}

// Peers implements mirror.Sources. It returns, each in random order, the addresses of the
// relays of this VM's failure domain, unless it is a watcher or a relay itself, of the
// topic's watchers, and of up to watcherCount other VMs, since a watcher may be cut off
// as well.
func (w *watchers) Peers(topic provider.Topic) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen, relays := w.watchersOf(topic), w.relaysOf(topic)
	if chosen[w.self] || relays[w.self] {
		relays = nil
	}
	var near, preferred, others []string
	for _, m := range w.live {
		switch {
		case m.name == w.self:
		case relays[m.name]:
			near = append(near, m.address)
		case chosen[m.name]:
			preferred = append(preferred, m.address)
		default:
			others = append(others, m.address)
		}
	}
	shuffle(near)
	shuffle(preferred)
	shuffle(others)
	return slices.Concat(near, preferred, others[:min(len(others), watcherCount)])
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
