package engine

import (
	"container/list"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = wire.BlockTokens

// keptEvents is the number of cache events that an engine remembers.
const keptEvents = 256

// prefixCache is an LRU set of block hashes. A hash covers its whole prefix.
type prefixCache struct {
	order  *list.List
	byHash map[uint64]*list.Element
	seq    int64
	events []wire.CacheEvent
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int64 {
	n := int64(0)
	for _, b := range blocks {
		e, ok := c.byHash[b]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return n
}

func (c *prefixCache) add(blocks []uint64) {
	var added []uint64
	for i := len(blocks) - 1; i >= 0; i-- {
		if e, ok := c.byHash[blocks[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byHash[blocks[i]] = c.order.PushFront(blocks[i])
		added = append(added, blocks[i])
	}
	c.publish(wire.CacheEvent{Added: added})
}

// shrink evicts the blocks least recently used until at most n are left.
func (c *prefixCache) shrink(n int64) {
	var removed []uint64
	for int64(c.order.Len()) > max(0, n) {
		e := c.order.Back()
		hash := e.Value.(uint64)
		c.order.Remove(e)
		delete(c.byHash, hash)
		removed = append(removed, hash)
	}
	c.publish(wire.CacheEvent{Removed: removed})
}

func (c *prefixCache) publish(e wire.CacheEvent) {
	if len(e.Added)+len(e.Removed) == 0 {
		return
	}
	c.seq++
	e.Sequence = c.seq
	c.events = append(c.events, e)
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

// CacheEvents lists the cache events after the sequence number that are still
// kept.
func (m *Model) CacheEvents(since int64) []wire.CacheEvent { return m.cache.since(since) }

// since lists the events after the sequence number that are still kept.
func (c *prefixCache) since(seq int64) []wire.CacheEvent {
	var events []wire.CacheEvent
	for _, e := range c.events {
		if e.Sequence > seq {
			events = append(events, e)
		}
	}
	return events
}
