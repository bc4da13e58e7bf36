package membership

import "sort"

// queue holds the updates that are still to be disseminated. Notes, which are rare, go
// first, then the updates sent the fewest times, and among them the newest; an update is
// dropped when it has reached its send limit.
type queue struct {
	updates map[string]*queuedUpdate
	next    int64
}

type queuedUpdate struct {
	update Update
	sent   int
	order  int64
}

func newQueue() *queue { return &queue{updates: make(map[string]*queuedUpdate)} }

// put queues the update and replaces an earlier one with the same key.
func (q *queue) put(u Update) {
	q.next++
	q.updates[u.key()] = &queuedUpdate{update: u, order: q.next}
}

// take returns updates of at most maxBytes in total. An update is dropped from
// the queue once it has been sent maxSends times.
func (q *queue) take(maxBytes, maxSends int) []Update {
	list := make([]*queuedUpdate, 0, len(q.updates))
	for _, item := range q.updates {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool {
		if a, b := list[i].update.Note != nil, list[j].update.Note != nil; a != b {
			return a
		}
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].order > list[j].order
	})
	var out []Update
	for _, item := range list {
		size := item.update.size()
		if size > maxBytes {
			continue
		}
		maxBytes -= size
		item.sent++
		if item.sent >= maxSends {
			delete(q.updates, item.update.key())
		}
		out = append(out, item.update)
	}
	return out
}
