package engine

import (
	"container/list"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = wire.BlockTokens

// maxCacheEvents is the number of most recent cache events that an engine keeps.
const maxCacheEvents = 256

// prefixCache is an LRU set of block hashes. The hash of a block covers the
// block and all blocks before it.
type prefixCache struct {
	lru    *list.List
	byHash map[uint64]*list.Element
	seq    int64
	events []wire.CacheEvent
}

func newPrefixCache() *prefixCache {
	return &prefixCache{lru: list.New(), byHash: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) match(blocks []uint64) int64 {
	n := int64(0)
	for _, b := range blocks {
		e, ok := c.byHash[b]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		n++
	}
	return n
}

// add inserts the blocks, the last one first, so that leading blocks are evicted
// after those that follow them.
func (c *prefixCache) add(blocks []uint64) {
	var added []uint64
	for i := len(blocks) - 1; i >= 0; i-- {
		if e, ok := c.byHash[blocks[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.byHash[blocks[i]] = c.lru.PushFront(blocks[i])
		added = append(added, blocks[i])
	}
	c.publish(wire.CacheEvent{Added: added})
}

// shrink evicts the least recently used blocks until at most n are left.
func (c *prefixCache) shrink(n int64) {
	var removed []uint64
	for int64(c.lru.Len()) > max(0, n) {
		e := c.lru.Back()
		hash := e.Value.(uint64)
		c.lru.Remove(e)
		delete(c.byHash, hash)
		removed = append(removed, hash)
	}
	c.publish(wire.CacheEvent{Removed: removed})
}

// publish numbers the event and appends it to the kept events; an event without
// blocks is ignored.
func (c *prefixCache) publish(e wire.CacheEvent) {
	if len(e.Added)+len(e.Removed) == 0 {
		return
	}
	c.seq++
	e.Sequence = c.seq
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// CacheEvents returns the kept cache events with a sequence number greater than
// since.
func (m *Model) CacheEvents(since int64) []wire.CacheEvent { return m.cache.since(since) }

// since returns the kept events with a sequence number greater than seq.
func (c *prefixCache) since(seq int64) []wire.CacheEvent {
	var events []wire.CacheEvent
	for _, e := range c.events {
		if e.Sequence > seq {
			events = append(events, e)
		}
	}
	return events
}
