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

// watcherCount is the number of VMs that follow each topic of the store on behalf
// of the others. With two, one may be cut off from the store.
const watcherCount = 2

// watchers selects, by rendezvous hashing over the live VMs, those that follow the
// store directly. It implements mirror.Sources and is safe for concurrent use.
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

// watchersOf returns the names of the topic's watchers; the lock is held. It may
// return fewer than watcherCount, as two hash keys can select the same VM.
func (w *watchers) watchersOf(topic provider.Topic) map[string]bool {
	chosen := make(map[string]bool, watcherCount)
	if len(w.live) == 0 {
		return chosen
	}
	for i := range watcherCount {
		chosen[w.ring.Lookup(topic.String()+"/"+strconv.Itoa(i))] = true
	}
	return chosen
}

// Watches implements mirror.Sources. Without other live VMs, this VM watches every
// topic.
func (w *watchers) Watches(topic provider.Topic) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.live) <= 1 || w.watchersOf(topic)[w.self]
}

// Peers implements mirror.Sources. It returns the addresses of the topic's watchers
// in random order, then those of up to watcherCount other VMs, since a watcher may
// be cut off as well.
func (w *watchers) Peers(topic provider.Topic) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen := w.watchersOf(topic)
	var preferred, others []string
	for _, m := range w.live {
		switch {
		case m.VM == w.self:
		case chosen[m.VM]:
			preferred = append(preferred, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	shuffle(preferred)
	shuffle(others)
	return append(preferred, others[:min(len(others), watcherCount)]...)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
