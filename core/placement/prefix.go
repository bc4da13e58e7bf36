package placement

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BlockTokens is the number of tokens in one block of a prefix cache.
const BlockTokens = wire.BlockTokens

const (
	// prefixMaxAge is the age after which an entry that was not renewed is
	// ignored.
	prefixMaxAge = 10 * time.Minute
	// prefixMaxBlocks bounds the number of indexed blocks of one endpoint.
	prefixMaxBlocks = 1 << 14
	// hitRatioGain is the weight of one answer in the moving average of the hit
	// ratio.
	hitRatioGain = 0.1
)

// Prefixes is an approximate index of one endpoint's prefix cache. Errors affect
// only the choice of endpoint, not the answer: the engine computes any block that
// is not cached.
type Prefixes struct {
	incarnation string
	sequence    int64
	// recordedAt is the time at which each block was last recorded as cached, in
	// milliseconds since the epoch.
	recordedAt map[uint64]int64
	// hitRatio is the moving average of the ratio of cached tokens to tokens
	// predicted as cached.
	hitRatio float64
}

// NewPrefixes returns an empty index.
func NewPrefixes() *Prefixes {
	return &Prefixes{recordedAt: make(map[uint64]int64), hitRatio: 1}
}

// Sequence returns the sequence number of the last cache event applied.
func (x *Prefixes) Sequence() int64 { return x.sequence }

// Apply applies cache events of the endpoint. A gap in the sequence numbers, or a
// change of incarnation, first clears the index.
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
		delete(x.recordedAt, b)
	}
	for _, b := range e.Added {
		x.recordedAt[b] = now.UnixMilli()
	}
}

func (x *Prefixes) reset() {
	clear(x.recordedAt)
	x.sequence = 0
}

// prune removes expired blocks when the index is over its limit, and clears it
// when it is still over the limit after that.
func (x *Prefixes) prune(now time.Time) {
	if len(x.recordedAt) <= prefixMaxBlocks {
		return
	}
	oldest := oldestValid(now)
	for b, at := range x.recordedAt {
		if at < oldest {
			delete(x.recordedAt, b)
		}
	}
	if len(x.recordedAt) > prefixMaxBlocks {
		clear(x.recordedAt)
	}
}

func oldestValid(now time.Time) int64 { return now.Add(-prefixMaxAge).UnixMilli() }

// predictedTokens returns the length, in tokens, of the longest prefix that the
// index holds. Bisection finds it, because a hash covers its whole prefix and
// engines evict tails first.
func (x *Prefixes) predictedTokens(now time.Time, blocks []uint64) int64 {
	oldest := oldestValid(now)
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high) / 2
		// The first probe is the first block: most prompts have no cached prefix.
		if low == 0 && high == len(blocks) {
			mid = 0
		}
		at, ok := x.recordedAt[blocks[mid]]
		if ok && at >= oldest {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return int64(low) * BlockTokens
}

// Cached predicts how many tokens of the prompt are in the endpoint's cache.
func (x *Prefixes) Cached(now time.Time, blocks []uint64) int64 {
	if len(blocks) == 0 || len(x.recordedAt) == 0 {
		return 0
	}
	return int64(x.hitRatio * float64(x.predictedTokens(now, blocks)))
}

// Observe corrects the index by the number of cached tokens that an answer
// reports: it removes the blocks wrongly predicted as cached and updates the hit
// ratio.
func (x *Prefixes) Observe(now time.Time, blocks []uint64, cached int64) {
	predicted := x.predictedTokens(now, blocks)
	if predicted > 0 {
		ratio := min(1, float64(cached)/float64(predicted))
		x.hitRatio += hitRatioGain * (ratio - x.hitRatio)
	}
	for i := cached / BlockTokens; i < predicted/BlockTokens; i++ {
		delete(x.recordedAt, blocks[i])
	}
}

// RecordComputed records the blocks of a computed prompt as cached, before a cache event
// confirms them.
func (x *Prefixes) RecordComputed(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		x.recordedAt[b] = now.UnixMilli()
	}
	x.prune(now)
}
