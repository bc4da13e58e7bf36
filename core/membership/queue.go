package membership

import "sort"

// queue holds the news that is still to be told. What was told least goes
// first; what was told often enough is dropped.
type queue struct {
	items map[string]*queued
	next  int64
}

type queued struct {
	news  News
	told  int
	order int64
}

func newQueue() *queue { return &queue{items: make(map[string]*queued)} }

// put adds the news in place of earlier news of its subject.
func (q *queue) put(n News) {
	q.next++
	q.items[n.subject()] = &queued{news: n, order: q.next}
}

// take returns news of at most limit bytes, each told at most times times.
func (q *queue) take(limit, times int) []News {
	list := make([]*queued, 0, len(q.items))
	for _, item := range q.items {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].told != list[j].told {
			return list[i].told < list[j].told
		}
		return list[i].order > list[j].order
	})
	var out []News
	for _, item := range list {
		size := item.news.size()
		if size > limit {
			continue
		}
		limit -= size
		item.told++
		if item.told >= times {
			delete(q.items, item.news.subject())
		}
		out = append(out, item.news)
	}
	return out
}
