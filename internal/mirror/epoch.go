package mirror

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// epochChange describes the entry of a copy into a new epoch of the store.
type epochChange struct {
	// entered is true if the copy has entered a new epoch; from and to are the
	// revisions of the copy before and after it.
	entered  bool
	from, to provider.Revision
	// kept are the keys of the rows of earlier epochs that the copy keeps, sorted.
	kept []string
}

// enterEpoch moves the copy to the epoch of a list. Rows that the list confirms
// become rows of that epoch. The caller must hold the lock, and then apply the list.
func (m *Mirror) enterEpoch(p provider.Page) epochChange {
	change := epochChange{entered: true, from: provider.Revision{Epoch: m.epoch, Version: m.version}, to: p.Revision()}
	m.epoch, m.version = p.Epoch, p.Version
	m.enteredAt, m.compactedTo, m.latest = p.Version, p.Version, 0
	clear(m.withheld)
	m.keepUntil = time.Time{}
	if keepFor := m.observer.KeepFor(); keepFor > 0 {
		m.keepUntil = time.Now().Add(keepFor)
	}
	return change
}

// withhold holds a row of the present epoch back if the copy has a later one of an
// earlier epoch, and reports whether it did. The caller must hold the lock.
func (m *Mirror) withhold(row provider.Row) bool {
	known, found := m.known(row.Key)
	if row.Epoch != m.epoch || !found || known.Epoch >= row.Epoch {
		return false
	}
	if sameContent(known, row) {
		m.confirm(row)
		return true
	}
	if m.observer.Supersedes(known, row, m.rewritten(known, row)) {
		delete(m.withheld, row.Key)
		return false
	}
	m.withheld[row.Key] = row
	m.latest = max(m.latest, row.Version)
	return true
}

// rewritten reports whether a row of the present epoch was certainly written in it.
// The backup has no version of the key after the known one. The caller must hold the
// lock.
func (m *Mirror) rewritten(known, row provider.Row) bool {
	return row.Version > m.enteredAt || !row.Removed && row.Version >= known.Version
}

func sameContent(a, b provider.Row) bool {
	return a.Removed == b.Removed && a.Version == b.Version && slices.Equal(a.Value, b.Value)
}

// confirm records that the store still holds a row of an earlier epoch. The caller
// must hold the lock.
func (m *Mirror) confirm(row provider.Row) {
	delete(m.withheld, row.Key)
	if !row.Removed {
		m.rows[row.Key] = row
	}
	m.latest = max(m.latest, row.Version)
}

// known returns the row or tombstone that the copy has for the key. The caller must
// hold the lock.
func (m *Mirror) known(key string) (provider.Row, bool) {
	if row, ok := m.rows[key]; ok {
		return row, true
	}
	for _, row := range slices.Backward(m.tombstones) {
		if row.Key == key {
			return row, true
		}
	}
	return provider.Row{}, false
}

// keptRows returns the rows and tombstones of earlier epochs that the copy keeps, and
// for how long; zero for no limit. The caller must hold the lock.
func (m *Mirror) keptRows() ([]provider.Row, time.Duration) {
	var kept []provider.Row
	for key := range m.withheld {
		if row, ok := m.known(key); ok {
			kept = append(kept, row)
		}
	}
	if m.keepUntil.IsZero() {
		return kept, 0
	}
	return kept, max(time.Until(m.keepUntil), time.Millisecond)
}

func (m *Mirror) withheldKeys() []string {
	keys := make([]string, 0, len(m.withheld))
	for key := range m.withheld {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Kept returns the number of rows of earlier epochs that the copy keeps.
func (m *Mirror) Kept() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.withheld)
}

// applyKept takes over rows of earlier epochs that another VM keeps, so that a VM
// which started after the store was restored learns what the store has lost. Rows
// that were certainly written in the present epoch stay. keepFor is the time for
// which the other VM keeps its rows.
func (m *Mirror) applyKept(rows []provider.Row, epoch int64, keepFor time.Duration) {
	m.update(func() delta {
		if m.version == 0 || epoch != m.epoch {
			return delta{}
		}
		var d delta
		for _, row := range rows {
			if m.keep(row) {
				d.rows = append(d.rows, row)
			}
		}
		m.limitKeeping(keepFor)
		return d
	})
}

// limitKeeping sets the time until which rows are kept that another VM keeps for
// another keepFor. The caller must hold the lock.
func (m *Mirror) limitKeeping(keepFor time.Duration) {
	limit := m.observer.KeepFor()
	if limit <= 0 || len(m.withheld) == 0 || !m.keepUntil.IsZero() {
		return
	}
	if keepFor > 0 {
		limit = min(limit, keepFor)
	}
	m.keepUntil = time.Now().Add(limit)
}

// keep replaces the row of the present epoch by a later one of an earlier epoch, and
// reports whether it did. The caller must hold the lock.
func (m *Mirror) keep(row provider.Row) bool {
	current, found := m.known(row.Key)
	if !found {
		current = provider.Row{Key: row.Key, Version: m.enteredAt, Epoch: m.epoch, Removed: true}
	}
	if row.Epoch >= m.epoch || current.Epoch != m.epoch || sameContent(current, row) || !found && row.Removed {
		return false
	}
	if m.observer.Supersedes(row, current, m.rewritten(row, current)) {
		return false
	}
	m.withheld[row.Key] = current
	m.tombstones = slices.DeleteFunc(m.tombstones, func(r provider.Row) bool { return r.Key == row.Key })
	delete(m.rows, row.Key)
	if row.Removed {
		m.tombstones = append(m.tombstones, row)
	} else {
		m.rows[row.Key] = row
	}
	return true
}

// releaseKept replaces the rows of earlier epochs by those that the store has, once
// the time to keep them has passed. It returns the keys of those rows.
func (m *Mirror) releaseKept(now time.Time) (keys []string) {
	m.update(func() delta {
		if m.keepUntil.IsZero() || now.Before(m.keepUntil) {
			return delta{}
		}
		m.keepUntil = time.Time{}
		keys = m.withheldKeys()
		var d delta
		for _, key := range keys {
			row := m.withheld[key]
			if m.putRow(row) {
				d.rows = append(d.rows, row)
			}
		}
		clear(m.withheld)
		return d
	})
	return keys
}
