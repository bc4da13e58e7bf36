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

// Observer receives the changes of a topic. Changed, Outage and Restored are called one at a
// time, in the order of the changes. They may read the copy, but must not change it.
type Observer interface {
	// Changed receives the rows that are new, changed or removed. The first call has
	// all rows of the topic.
	Changed(rows []provider.Row)
	// Outage is called when the copy becomes stale: neither this VM nor one that it
	// follows reaches the store. Restored is called when it becomes fresh.
	Outage()
	Restored(at time.Time)
	// Supersedes reports whether a row of the store's present epoch, which may be a
	// tombstone, replaces the row or tombstone known from an earlier epoch. rewritten
	// is true if the row was certainly written in the present epoch, and false if it
	// may be what the backup held for its key. It is called with the copy's lock, and must
	// not use the copy, as KeepFor.
	Supersedes(known, row provider.Row, rewritten bool) bool
	// KeepFor is how long rows of an earlier epoch are kept that the store has lost
	// or holds an older version of; zero means until they are superseded.
	KeepFor() time.Duration
}

// page is a page of rows for another VM.
type page struct {
	provider.Page
	// kept are the rows of earlier epochs that the sender prefers to those of the
	// page, and keepFor the time for which it still does.
	kept    []provider.Row
	keepFor time.Duration
	// restored is the time since the store was last regained, as recorded by this VM;
	// negative for never.
	restored time.Duration
}

// Mirror is a local copy of one topic. It is safe for concurrent use.
type Mirror struct {
	observer Observer

	// delivery is held from a change of the copy until the observer has received it. It is
	// locked before mu.
	delivery sync.Mutex
	// mu is never held while the observer is notified: what the observer does with a change
	// may lead back to the copy.
	mu   sync.Mutex
	rows map[string]provider.Row
	// tombstones are the removed rows, in the order in which they were removed.
	tombstones []provider.Row
	// compactedTo is the version up to which tombstones may be missing.
	compactedTo int64
	// epoch is the store's epoch, and version the store version of that epoch up to
	// which the copy is complete; zero for an empty copy.
	epoch   int64
	version int64
	// latest is the latest version of any row or tombstone of the epoch.
	latest int64
	// enteredAt is the version of the list with which the copy entered the epoch:
	// later rows were certainly written in it.
	enteredAt int64
	// withheld are rows of the epoch, by key, that the copy has later ones of from an
	// earlier epoch; tombstones for keys that the store has lost. keepUntil is when
	// they replace the kept rows; zero for never.
	withheld  map[string]provider.Row
	keepUntil time.Time
	// stale is true while no source that reaches the store responds.
	stale bool
	// restored is when the store was last regained, recorded when the copy became
	// fresh; zero for never.
	restored time.Time
	// changed is closed, and replaced, by wakeWaiters, once the observer has a change.
	changed chan struct{}
}

// New returns an empty, stale Mirror.
func New(observer Observer) *Mirror {
	return &Mirror{
		observer: observer,
		rows:     make(map[string]provider.Row),
		withheld: make(map[string]provider.Row),
		stale:    true,
		changed:  make(chan struct{}),
	}
}

// Revision returns the store revision up to which the copy is complete; its version
// is zero for an empty copy.
func (m *Mirror) Revision() provider.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return provider.Revision{Epoch: m.epoch, Version: m.version}
}

// Latest returns the latest revision of any row; its version is zero for an empty
// copy.
func (m *Mirror) Latest() provider.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return provider.Revision{Epoch: m.epoch, Version: m.latest}
}

// delta is what a change of the copy means for the observer.
type delta struct {
	rows []provider.Row
	// first is set for the first rows of the copy, which are passed on even if there are none.
	first bool
}

// update changes the copy, and then passes the delta to the observer and wakes the waiters.
// change is called with the lock.
func (m *Mirror) update(change func() delta) {
	m.delivery.Lock()
	defer m.delivery.Unlock()
	m.mu.Lock()
	d := change()
	m.mu.Unlock()
	if len(d.rows) == 0 && !d.first {
		return
	}
	m.observer.Changed(d.rows)
	m.wakeWaiters()
}

// applyList applies a page with all rows of the topic as of its revision. Rows of the
// copy that the page lacks are removed, unless they are of later versions. If the
// page is of a later epoch, the copy enters that epoch, and keeps the rows that the
// store may have lost. It returns false, and changes nothing, for a page of an
// earlier epoch.
func (m *Mirror) applyList(p provider.Page) (change epochChange, ok bool) {
	m.update(func() delta {
		if m.version > 0 && p.Epoch < m.epoch {
			return delta{}
		}
		ok = true
		var d delta
		d, change = m.putList(p)
		return d
	})
	return change, ok
}

// putList applies a list that is not of an earlier epoch. The caller must hold the lock.
func (m *Mirror) putList(p provider.Page) (delta, epochChange) {
	present := make(map[string]bool, len(p.Rows))
	for _, row := range p.Rows {
		present[row.Key] = true
	}
	rows := p.Rows
	for key, row := range m.rows {
		if !present[key] && row.Revision().Compare(p.Revision()) <= 0 {
			rows = append(rows, m.missing(row, p))
		}
	}
	if m.version == 0 {
		m.epoch, m.enteredAt, m.compactedTo = p.Epoch, p.Version, p.Version
	}
	var change epochChange
	if p.Epoch > m.epoch {
		change = m.enterEpoch(p)
	}
	d := m.putRows(rows, p.Version)
	change.kept = m.withheldKeys()
	return d, change
}

// missing returns the tombstone of a row that a list lacks. The caller must hold the
// lock.
func (m *Mirror) missing(row provider.Row, list provider.Page) provider.Row {
	tombstone := provider.Row{Key: row.Key, Version: list.Version, Epoch: list.Epoch, Removed: true}
	if list.Epoch == m.epoch && row.Epoch < m.epoch {
		// The row is kept from an earlier epoch; it may still just be lost.
		tombstone.Version = m.enteredAt
	}
	return tombstone
}

// applyChanges applies a page with the changes up to its version. It returns false,
// and changes nothing, for a page of another epoch.
func (m *Mirror) applyChanges(p provider.Page) (ok bool) {
	m.update(func() delta {
		if p.Epoch != m.epoch {
			return delta{}
		}
		ok = true
		return m.putRows(p.Rows, p.Version)
	})
	return ok
}

// putRows stores the rows that are later than those of the copy. The caller must hold the
// lock.
func (m *Mirror) putRows(rows []provider.Row, version int64) delta {
	d := delta{first: m.version == 0}
	m.version = max(m.version, version)
	for _, row := range rows {
		if m.withhold(row) {
			continue
		}
		if m.putRow(row) {
			d.rows = append(d.rows, row)
		}
	}
	return d
}

// wakeWaiters ends all waits for changes.
func (m *Mirror) wakeWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// putRow stores a row or tombstone and reports whether it changed the copy. A row
// that is not later than the stored row or tombstone is ignored.
func (m *Mirror) putRow(row provider.Row) bool {
	current, present := m.rows[row.Key]
	if present && row.Revision().Compare(current.Revision()) <= 0 || m.hasNewerTombstone(row) {
		return false
	}
	if row.Epoch == m.epoch {
		m.latest = max(m.latest, row.Version)
	}
	if !row.Removed {
		m.rows[row.Key] = row
		return true
	}
	m.tombstones = append(m.tombstones, row)
	if excess := len(m.tombstones) - maxTombstones; excess > 0 {
		if last := m.tombstones[excess-1]; last.Epoch == m.epoch {
			m.compactedTo = max(m.compactedTo, last.Version)
		}
		m.tombstones = m.tombstones[excess:]
	}
	delete(m.rows, row.Key)
	return present
}

// hasNewerTombstone reports whether the key was removed at the row's version or a
// later one.
func (m *Mirror) hasNewerTombstone(row provider.Row) bool {
	for _, r := range m.tombstones {
		if r.Key == row.Key && r.Revision().Compare(row.Revision()) >= 0 {
			return true
		}
	}
	return false
}

// setStale records whether the copy is stale, and notifies the observer of a change.
// restored is the time at which the store was regained.
func (m *Mirror) setStale(stale bool, restored time.Time) {
	m.delivery.Lock()
	defer m.delivery.Unlock()
	switch changed := m.markStale(stale, restored); {
	case changed && stale:
		m.observer.Outage()
	case changed:
		m.observer.Restored(restored)
	}
}

// markStale records whether the copy is stale, and reports whether that is a change.
func (m *Mirror) markStale(stale bool, restored time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := stale != m.stale
	m.stale = stale
	if changed && !stale {
		m.restored = restored
	}
	return changed
}

func (m *Mirror) isStale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stale
}

// list returns all rows of the store's epoch, and false if the copy is empty.
func (m *Mirror) list() (page, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		return page{}, false
	}
	p := m.emptyPage()
	for key, row := range m.rows {
		if _, kept := m.withheld[key]; !kept {
			p.Rows = append(p.Rows, row)
		}
	}
	for _, row := range m.withheld {
		if !row.Removed {
			p.Rows = append(p.Rows, row)
		}
	}
	return p, true
}

// emptyPage returns a page without rows of the epoch. The caller must hold the lock.
func (m *Mirror) emptyPage() page {
	p := page{Page: provider.Page{Version: m.version, Epoch: m.epoch}, restored: -1}
	p.kept, p.keepFor = m.keptRows()
	if !m.restored.IsZero() {
		p.restored = time.Since(m.restored)
	}
	return p
}

// waitForChanges returns the rows that changed after the revision, as soon as there
// are any or wakeWaiters is called, and otherwise an empty page when the wait has
// passed. It returns an ExpiredError if the changes are no longer available.
func (m *Mirror) waitForChanges(ctx context.Context, after provider.Revision, wait time.Duration) (page, error) {
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

// changesSince returns the rows that changed after the revision, and a channel that
// is closed on the next change. It returns an ExpiredError if the copy is empty or of
// another epoch, or the changes are no longer available.
func (m *Mirror) changesSince(after provider.Revision) (page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.emptyPage()
	if m.version == 0 || after.Epoch != m.epoch || after.Version < m.compactedTo {
		return p, nil, errors.WithStack(&provider.ExpiredError{After: after.Version})
	}
	add := func(row provider.Row) {
		if row.Epoch == m.epoch && row.Version > after.Version {
			p.Rows = append(p.Rows, row)
		}
	}
	for _, row := range m.rows {
		add(row)
	}
	for _, row := range m.tombstones {
		add(row)
	}
	for _, row := range m.withheld {
		if !row.Removed {
			add(row)
		}
	}
	return p, m.changed, nil
}
