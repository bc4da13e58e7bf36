// Package directory tracks the endpoints listed in the platform's registry and
// selects those that are eligible for requests. The package is pure.
package directory

import "time"

// State is the state that an endpoint publishes in the registry.
type State uint8

// Endpoint states.
const (
	// Ready endpoints receive new requests.
	Ready State = iota
	// Draining endpoints only finish their in-flight requests.
	Draining
)

// Entry is the registry entry of one endpoint.
type Entry struct {
	// ID identifies the endpoint.
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	State  State
	// ColdFor is how much longer the endpoint was cold when it wrote the entry.
	ColdFor time.Duration
	// Started distinguishes successive incarnations of the endpoint with the
	// same ID; zero if the registry does not state it.
	Started int64
}

// Incarnation identifies one run of an endpoint.
type Incarnation struct {
	ID string
	// Started is the Started field of its entries.
	Started int64
}

// Incarnation returns the incarnation that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Started: e.Started} }

// record is an entry with its removal state.
type record struct {
	Entry
	// missingSince is when the entry was removed during an outage of the
	// registry or in the grace period after it; zero if it was not. The
	// endpoint stays usable until the grace period ends.
	missingSince time.Time
}

// Directory holds the registry entries. It is not safe for concurrent use.
type Directory struct {
	// gracePeriod is how long after an outage a removed entry may reappear.
	gracePeriod time.Duration
	records     map[string]*record
	// restoredAt is when the registry last became available after an outage.
	restoredAt time.Time
	outage     bool
	// leaving are the incarnations that are known to leave, and leavingOrder the same
	// in the order in which that became known.
	leaving      map[Incarnation]bool
	leavingOrder []Incarnation
	// pausedUntil maps the IDs of endpoints that have asked for no requests to the end
	// of that time.
	pausedUntil map[string]time.Time
	// evacuated are the failure domains that are to get no requests.
	evacuated map[string]bool
}

// New returns an empty Directory. Ready entries that are removed during a
// registry outage or within gracePeriod after its end are kept until that time
// has passed.
func New(gracePeriod time.Duration) *Directory {
	return &Directory{
		gracePeriod: gracePeriod,
		records:     make(map[string]*record),
		leaving:     make(map[Incarnation]bool),
		pausedUntil: make(map[string]time.Time),
		evacuated:   make(map[string]bool),
	}
}

// Outage records that the registry is unavailable.
func (d *Directory) Outage() { d.outage = true }

// Restored records that the registry has been available again since the given
// time. It has no effect outside an outage.
func (d *Directory) Restored(at time.Time) {
	if d.outage {
		d.outage = false
		d.restoredAt = at
	}
}

// Put adds or replaces an entry. An incarnation that is known to leave stays in
// Draining.
func (d *Directory) Put(e Entry) {
	if previous := d.records[e.ID]; previous != nil && previous.Started != e.Started {
		delete(d.pausedUntil, e.ID)
	}
	if e.State == Draining {
		d.MarkLeaving(e.Incarnation())
	}
	if d.leaving[e.Incarnation()] {
		e.State = Draining
	}
	d.records[e.ID] = &record{Entry: e}
}

// Remove deletes an entry. During an outage and the grace period after it, a
// ready entry is only marked as removed.
func (d *Directory) Remove(now time.Time, id string) {
	r := d.records[id]
	if r == nil {
		return
	}
	if r.State == Ready && d.inGracePeriod(now) {
		if r.missingSince.IsZero() {
			r.missingSince = now
		}
		return
	}
	delete(d.records, id)
}

// Expire deletes the entries marked as removed once the grace period is over.
func (d *Directory) Expire(now time.Time) {
	if d.inGracePeriod(now) {
		return
	}
	for id, r := range d.records {
		if !r.missingSince.IsZero() {
			delete(d.records, id)
		}
	}
}

// inGracePeriod reports whether the registry is unavailable or was restored less
// than gracePeriod ago, so that a removed entry may still reappear.
func (d *Directory) inGracePeriod(now time.Time) bool {
	return d.outage || !d.restoredAt.IsZero() && now.Sub(d.restoredAt) < d.gracePeriod
}

// Usable returns the ready entries that are not evacuated, in no particular order.
func (d *Directory) Usable() []Entry {
	var list []Entry
	for _, r := range d.records {
		if r.State == Ready && !d.evacuated[r.Domain] {
			list = append(list, r.Entry)
		}
	}
	return list
}

// Entry returns the entry with the given ID.
func (d *Directory) Entry(id string) (Entry, bool) {
	r := d.records[id]
	if r == nil {
		return Entry{}, false
	}
	return r.Entry, true
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.records) }
