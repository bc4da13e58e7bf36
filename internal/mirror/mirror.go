package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// maxTombstones bounds the tombstones kept for followers; a follower from an
// earlier version must list the topic again.
const maxTombstones = 1024

// Observer receives the changes of a topic. Its methods are never called
// concurrently.
type Observer interface {
	// Changed receives the rows that are new, changed or removed. The first call has
	// all rows of the topic.
	Changed(rows []provider.Row)
	// Outage is called when the copy becomes stale: neither this VM nor one that it
	// follows reaches the store. Restored is called when it becomes fresh.
	Outage()
	Restored(at time.Time)
}

// page is a page of rows for another VM.
type page struct {
	provider.Page
	// restored is the time since the store was last regained, as recorded by this VM;
	// negative for never.
	restored time.Duration
}

// Mirror is a local copy of one topic. It is safe for concurrent use.
type Mirror struct {
	observer Observer

	mu   sync.Mutex
	rows map[string]provider.Row
	// tombstones are the removed rows, in the order in which they were removed.
	tombstones []provider.Row
	// compactedTo is the version up to which tombstones may be missing.
	compactedTo int64
	// version is the store version up to which the copy is complete; zero for an empty
	// copy.
	version int64
	// latest is the latest version of any row or tombstone.
	latest int64
	// stale is true while no source that reaches the store responds.
	stale bool
	// restored is when the store was last regained, recorded when the copy became
	// fresh; zero for never.
	restored time.Time
	// changed is closed, and replaced, on each change and by wakeWaiters.
	changed chan struct{}
}

// New returns an empty, stale Mirror.
func New(observer Observer) *Mirror {
	return &Mirror{
		observer: observer,
		rows:     make(map[string]provider.Row),
		stale:    true,
		changed:  make(chan struct{}),
	}
}

// Version returns the store version up to which the copy is complete; zero for an
// empty copy.
func (m *Mirror) Version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Latest returns the latest version of any row; zero for an empty copy.
func (m *Mirror) Latest() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// applyList applies a page with all rows of the topic as of its version. Rows of the
// copy that the page lacks are removed, unless they are of later versions.
func (m *Mirror) applyList(p provider.Page) {
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
		m.compactedTo = p.Version
	}
	m.applyRows(rows, p.Version)
}

// applyChanges applies a page with the changes up to its version.
func (m *Mirror) applyChanges(p provider.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRows(p.Rows, p.Version)
}

// applyRows applies the rows that are later than those of the copy, and passes them
// to the observer. The caller must hold the lock.
func (m *Mirror) applyRows(rows []provider.Row, version int64) {
	first := m.version == 0
	m.version = max(m.version, version)
	var changedRows []provider.Row
	for _, row := range rows {
		if m.putRow(row) {
			changedRows = append(changedRows, row)
		}
	}
	if len(changedRows) == 0 && !first {
		return
	}
	m.observer.Changed(changedRows)
	m.signal()
}

// wakeWaiters ends all waits for changes.
func (m *Mirror) wakeWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signal()
}

// signal is like wakeWaiters. The caller must hold the lock.
func (m *Mirror) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// putRow stores a row or tombstone and reports whether it changed the copy. A row
// that is not later than the stored row or tombstone is ignored.
func (m *Mirror) putRow(row provider.Row) bool {
	current, present := m.rows[row.Key]
	if present && row.Version <= current.Version || m.hasNewerTombstone(row) {
		return false
	}
	m.latest = max(m.latest, row.Version)
	if !row.Removed {
		m.rows[row.Key] = row
		return true
	}
	m.tombstones = append(m.tombstones, row)
	if excess := len(m.tombstones) - maxTombstones; excess > 0 {
		m.compactedTo = max(m.compactedTo, m.tombstones[excess-1].Version)
		m.tombstones = m.tombstones[excess:]
	}
	delete(m.rows, row.Key)
	return present
}

// hasNewerTombstone reports whether the key was removed at the row's version or a
// later one.
func (m *Mirror) hasNewerTombstone(row provider.Row) bool {
	for _, r := range m.tombstones {
		if r.Key == row.Key && r.Version >= row.Version {
			return true
		}
	}
	return false
}

// setStale records whether the copy is stale, and notifies the observer of a change.
// restored is the time at which the store was regained.
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

// list returns all rows of the copy, and false if the copy is empty.
func (m *Mirror) list() (page, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		return page{}, false
	}
	p := m.emptyPage()
	for _, row := range m.rows {
		p.Rows = append(p.Rows, row)
	}
	return p, true
}

// emptyPage returns a page without rows. The caller must hold the lock.
func (m *Mirror) emptyPage() page {
	p := page{Page: provider.Page{Version: m.version}, restored: -1}
	if !m.restored.IsZero() {
		p.restored = time.Since(m.restored)
	}
	return p
}

// waitForChanges returns the rows that changed after the version, as soon as there
// are any or wakeWaiters is called, and otherwise an empty page when the wait has
// passed. It returns an ExpiredError if the changes are no longer available.
func (m *Mirror) waitForChanges(ctx context.Context, after int64, wait time.Duration) (page, error) {
	p, changed, err := m.changesSince(after)
	if err != nil || len(p.Rows) > 0 || wait <= 0 {
		return p, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		p, _, err = m.changesSince(after)
		return p, err
	case <-timer.C:
		return p, nil
	case <-ctx.Done():
		return p, errors.WithStack(ctx.Err())
	}
}

// changesSince returns the rows that changed after the version, and a channel that
// is closed on the next change. It returns an ExpiredError if the copy is empty or
// the changes are no longer available.
func (m *Mirror) changesSince(after int64) (page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.emptyPage()
	if m.version == 0 || after < m.compactedTo {
		return p, nil, errors.WithStack(&provider.ExpiredError{After: after})
	}
	for _, row := range m.rows {
		if row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	for _, row := range m.tombstones {
		if row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	return p, m.changed, nil
}
