package placement

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BlockTokens is the number of tokens in one block of a prefix cache.
const BlockTokens = wire.BlockTokens

const (
	// prefixMaxAge is how long an unconfirmed block is believed.
	prefixMaxAge = 10 * time.Minute
	// prefixMaxBlocks bounds the blocks remembered of one endpoint.
	prefixMaxBlocks = 1 << 14
	// trustGain is the weight of one answer in the trust in the index.
	trustGain = 0.1
)

// Prefixes is what is believed of one endpoint's prefix cache. It only steers
// placement: an engine computes whatever it turns out not to have.
type Prefixes struct {
	incarnation string
	sequence    int64
	// seen is when each block was told of, in milliseconds since the epoch.
	seen map[uint64]int64
	// trust is the learnt ratio of tokens found cached to tokens believed so.
	trust float64
}

// NewPrefixes returns an empty index.
func NewPrefixes() *Prefixes {
	return &Prefixes{seen: make(map[uint64]int64), trust: 1}
}

// Sequence is the last cache event applied.
func (x *Prefixes) Sequence() int64 { return x.sequence }

// Apply takes the cache events of an endpoint. A gap, or another incarnation,
// drops all that was believed before.
func (x *Prefixes) Apply(now time.Time, events wire.CacheEvents) {
	if events.Incarnation != x.incarnation {
		x.reset()
		x.incarnation = events.Incarnation
	}
	for _, e := range events.Events {
		x.apply(now, e)
	}
	x.prune(now)
}

func (x *Prefixes) apply(now time.Time, e wire.CacheEvent) {
	if e.Sequence <= x.sequence {
		return
	}
	if e.Sequence != x.sequence+1 {
		x.reset()
	}
	x.sequence = e.Sequence
	for _, b := range e.Removed {
		delete(x.seen, b)
	}
	for _, b := range e.Added {
		x.seen[b] = now.UnixMilli()
	}
}

func (x *Prefixes) reset() {
	clear(x.seen)
	x.sequence = 0
}

// prune drops aged blocks; with still too many, all are dropped.
func (x *Prefixes) prune(now time.Time) {
	if len(x.seen) <= prefixMaxBlocks {
		return
	}
	oldest := oldestBelieved(now)
	for b, at := range x.seen {
		if at < oldest {
			delete(x.seen, b)
		}
	}
	if len(x.seen) > prefixMaxBlocks {
		clear(x.seen)
	}
}

func oldestBelieved(now time.Time) int64 { return now.Add(-prefixMaxAge).UnixMilli() }

// believed returns the tokens of the longest prefix that is thought cached. A
// hash covers its whole prefix and tails are evicted first, so it is found by
// bisection.
func (x *Prefixes) believed(now time.Time, blocks []uint64) int64 {
	oldest := oldestBelieved(now)
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high) / 2
		// The first probe is the first block: most prompts share nothing.
		if low == 0 && high == len(blocks) {
			mid = 0
		}
		at, ok := x.seen[blocks[mid]]
		if ok && at >= oldest {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return int64(low) * BlockTokens
}

// Cached predicts the tokens of the prompt that the endpoint finds cached.
func (x *Prefixes) Cached(now time.Time, blocks []uint64) int64 {
	if len(blocks) == 0 || len(x.seen) == 0 {
		return 0
	}
	return int64(x.trust * float64(x.believed(now, blocks)))
}

// Observe corrects the index by an answer's account of its cached tokens: what
// was believed in vain is dropped, and the trust follows.
func (x *Prefixes) Observe(now time.Time, blocks []uint64, cached int64) {
	believed := x.believed(now, blocks)
	if believed > 0 {
		ratio := min(1, float64(cached)/float64(believed))
		x.trust += trustGain * (ratio - x.trust)
	}
	for i := cached / BlockTokens; i < believed/BlockTokens; i++ {
		delete(x.seen, blocks[i])
	}
}

// Assume notes a prompt that was computed: its blocks are cached now, for all
// that is known, though no event has said so.
func (x *Prefixes) Assume(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		x.seen[b] = now.UnixMilli()
	}
	x.prune(now)
}
