package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Sweep decides which rows may be removed. A VM whose clock runs ahead must not
// remove rows that still guard their keys, so that a row is only removed once
// it has expired by this VM's clock and by the latest row of another VM.
type Sweep struct {
	// VM is this one.
	VM string
	// latest is the newest start of a row that another VM wrote; zero for none.
	latest time.Time
}

// Note takes in the rows of a page.
func (s *Sweep) Note(rows []wire.Row) {
	for _, row := range rows {
		r, err := Decode(row)
		if err != nil || r.VM == s.VM {
			continue
		}
		if at := time.UnixMilli(r.StartedMs); at.After(s.latest) {
			s.latest = at
		}
	}
}

// Expired is a row that may be removed, with the object of its result.
type Expired struct {
	Row    wire.Row
	Object string
}

// Expired picks the rows that may be removed at now.
func (s *Sweep) Expired(rows []wire.Row, now time.Time) []Expired {
	if !s.latest.IsZero() && s.latest.Before(now) {
		now = s.latest
	}
	var expired []Expired
	for _, row := range rows {
		if r, err := Decode(row); err == nil && r.Expired(now) {
			expired = append(expired, Expired{row, r.Object})
		}
	}
	return expired
}

// Removal is the transaction that removes the rows, if none has changed.
func Removal(expired []Expired) wire.Txn {
	var txn wire.Txn
	for _, e := range expired {
		txn.Conditions = append(txn.Conditions, wire.Condition{Key: e.Row.Key, Version: e.Row.Version})
		txn.Deletes = append(txn.Deletes, e.Row.Key)
	}
	return txn
}
