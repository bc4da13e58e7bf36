package entry

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// watcherCount is the number of VMs that follow a topic of the store for the
// others; one that is cut off has another beside it.
const watcherCount = 2

// watchers chooses, by rendezvous hashing over the live VMs, who follows the
// store. It implements mirror.Sources and is safe for concurrent use.
type watchers struct {
	self string

	mu   sync.Mutex
	live []coordination.Member
	ring *rendezvous.Rendezvous
}

func newWatchers(self string) *watchers { return &watchers{self: self} }

// set replaces the live VMs.
func (w *watchers) set(live []coordination.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = live
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.VM)
	}
	w.ring = rendezvous.New(names, xxhash.Sum64String)
}

// chosen are the watchers of the topic; the lock is held.
func (w *watchers) chosen(topic provider.Topic) map[string]bool {
	set := make(map[string]bool, watcherCount)
	if len(w.live) == 0 {
		return set
	}
	for i := range watcherCount {
		set[w.ring.Lookup(topic.String()+"/"+strconv.Itoa(i))] = true
	}
	return set
}

// Watches implements mirror.Sources. A VM that knows no other watches.
func (w *watchers) Watches(topic provider.Topic) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.live) <= 1 || w.chosen(topic)[w.self]
}

// Peers implements mirror.Sources: the watchers, and two more VMs, as a watcher
// may be cut off itself.
func (w *watchers) Peers(topic provider.Topic) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen := w.chosen(topic)
	var first, others []string
	for _, m := range w.live {
		switch {
		case m.VM == w.self:
		case chosen[m.VM]:
			first = append(first, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	shuffle(first)
	shuffle(others)
	return append(first, others[:min(len(others), watcherCount)]...)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
