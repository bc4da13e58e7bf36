package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Sweep selects expired rows for removal. A VM whose clock is ahead must not
// remove rows that still protect their keys, so a row is removed only if it has
// expired both by this VM's clock and by the latest start time in rows of other
// VMs, if there are any.
type Sweep struct {
	// VM is the name of this VM.
	VM string
	// latestStart is the latest start time in rows written by other VMs; zero if
	// there are none.
	latestStart time.Time
}

// Observe updates the latest start time from a page of rows.
func (s *Sweep) Observe(rows []wire.Row) {
	for _, row := range rows {
		r, err := Decode(row)
		if err != nil || r.VM == s.VM {
			continue
		}
		if at := time.UnixMilli(r.StartedMs); at.After(s.latestStart) {
			s.latestStart = at
		}
	}
}

// Expired is a row that may be removed, with the key of its result's object;
// empty if it has none.
type Expired struct {
	Row    wire.Row
	Object string
}

// Expired returns the rows that may be removed at now. Rows that cannot be
// decoded are kept.
func (s *Sweep) Expired(rows []wire.Row, now time.Time) []Expired {
	if !s.latestStart.IsZero() && s.latestStart.Before(now) {
		now = s.latestStart
	}
	var expired []Expired
	for _, row := range rows {
		if r, err := Decode(row); err == nil && r.Expired(now) {
			expired = append(expired, Expired{row, r.Object})
		}
	}
	return expired
}

// Removal returns the transaction that removes the rows. It fails if any of them
// has changed.
func Removal(expired []Expired) wire.Txn {
	var txn wire.Txn
	for _, e := range expired {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: e.Row.Key, Version: e.Row.Version})
		txn.Deletes = append(txn.Deletes, e.Row.Key)
	}
	return txn
}
