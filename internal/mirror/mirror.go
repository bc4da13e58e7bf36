package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// maxTombstones bounds the removed rows that are remembered for those who
// follow; a follower from before is told to list anew.
const maxTombstones = 1024

// Observer takes what changes in a topic. Its methods are called one after the
// other.
type Observer interface {
	// Changed takes rows that are new, have changed, or are gone. The first call
	// has all rows of the topic.
	Changed(rows []provider.Row)
	// Outage and Restored say whether the store answers somebody.
	Outage()
	Restored(at time.Time)
}

// page is what one VM tells another of a topic.
type page struct {
	provider.Page
	// restored is how long ago the teller last regained the store; negative for
	// never.
	restored time.Duration
}

// Mirror is the copy of one topic. It is safe for concurrent use.
type Mirror struct {
	observer Observer

	mu   sync.Mutex
	rows map[string]provider.Row
	// removed are the rows that are gone, in the order of their versions.
	removed []provider.Row
	// forgotten is the version up to which removed rows were forgotten.
	forgotten int64
	// version is the store's up to which the copy is complete; zero for not yet.
	version int64
	// latest is the newest version of a row.
	latest   int64
	stale    bool
	restored time.Time
	// changed is closed, and replaced, with each change.
	changed chan struct{}
}

// New returns an empty Mirror, which is stale.
func New(observer Observer) *Mirror {
	return &Mirror{
		observer: observer,
		rows:     make(map[string]provider.Row),
		stale:    true,
		changed:  make(chan struct{}),
	}
}

// Version is the store's version up to which the copy is complete.
func (m *Mirror) Version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Latest is the newest version of a row; zero for an empty copy.
func (m *Mirror) Latest() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// listed takes the whole topic as of the page's version.
func (m *Mirror) listed(p provider.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(p.Rows))
	for _, row := range p.Rows {
		present[row.Key] = true
	}
	rows := p.Rows
	for key, row := range m.rows {
		if !present[key] && row.Version <= p.Version {
			rows = append(rows, provider.Row{Key: key, Version: p.Version, Removed: true})
		}
	}
	if m.version == 0 {
		m.forgotten = p.Version
	}
	m.apply(rows, p.Version)
}

// followed takes the changes up to the page's version.
func (m *Mirror) followed(p provider.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(p.Rows, p.Version)
}

// apply takes the rows that are newer than what is known; the lock is held.
func (m *Mirror) apply(rows []provider.Row, version int64) {
	first := m.version == 0
	m.version = max(m.version, version)
	var news []provider.Row
	for _, row := range rows {
		if m.keep(row) {
			news = append(news, row)
		}
	}
	if len(news) == 0 && !first {
		return
	}
	m.observer.Changed(news)
	m.signal()
}

// wake answers all that wait for changes.
func (m *Mirror) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signal()
}

// signal ends the waits for changes; the lock is held.
func (m *Mirror) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// keep stores a row and reports whether it is news.
func (m *Mirror) keep(row provider.Row) bool {
	known, present := m.rows[row.Key]
	if present && row.Version <= known.Version || m.removedSince(row) {
		return false
	}
	m.latest = max(m.latest, row.Version)
	if !row.Removed {
		m.rows[row.Key] = row
		return true
	}
	m.removed = append(m.removed, row)
	if over := len(m.removed) - maxTombstones; over > 0 {
		m.forgotten = max(m.forgotten, m.removed[over-1].Version)
		m.removed = m.removed[over:]
	}
	delete(m.rows, row.Key)
	return present
}

// removedSince reports whether the row was removed at a later version.
func (m *Mirror) removedSince(row provider.Row) bool {
	for _, r := range m.removed {
		if r.Key == row.Key && r.Version >= row.Version {
			return true
		}
	}
	return false
}

// setStale notes whether the store answers this VM, or those whom it follows.
func (m *Mirror) setStale(stale bool, restored time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case stale && !m.stale:
		m.observer.Outage()
	case !stale && m.stale:
		m.restored = restored
		m.observer.Restored(restored)
	}
	m.stale = stale
}

// list returns the copy for another VM; ok is false where there is none yet.
func (m *Mirror) list() (page, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		return page{}, false
	}
	p := m.about()
	for _, row := range m.rows {
		p.Rows = append(p.Rows, row)
	}
	return p, true
}

// about is a page without rows; the lock is held.
func (m *Mirror) about() page {
	p := page{Page: provider.Page{Version: m.version}, restored: -1}
	if !m.restored.IsZero() {
		p.restored = time.Since(m.restored)
	}
	return p
}

// follow returns what changed after the version, as soon as there is something
// or those that wait are woken, at the latest after the wait.
func (m *Mirror) follow(ctx context.Context, after int64, wait time.Duration) (page, error) {
	p, changed, err := m.since(after)
	if err != nil || len(p.Rows) > 0 || wait <= 0 {
		return p, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		p, _, err = m.since(after)
		return p, err
	case <-timer.C:
		return p, nil
	case <-ctx.Done():
		return p, errors.WithStack(ctx.Err())
	}
}

// since returns what changed after the version, and what is closed with the next
// change.
func (m *Mirror) since(after int64) (page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.about()
	if m.version == 0 || after < m.forgotten {
		return p, nil, errors.WithStack(&provider.ExpiredError{After: after})
	}
	for _, row := range m.rows {
		if row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	for _, row := range m.removed {
		if row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	return p, m.changed, nil
}
