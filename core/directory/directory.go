// Package directory keeps the endpoints that a platform's registry lists, and
// decides which of them get work. The package is pure.
package directory

import "time"

// State is what an endpoint says of itself in the registry.
type State uint8

// The states.
const (
	// Ready endpoints get work.
	Ready State = iota
	// Draining endpoints finish what they have.
	Draining
)

// Entry is one endpoint's line in the registry.
type Entry struct {
	// ID names the endpoint.
	ID      string
	Service string
	// Address is IP and port.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	State  State
	// Started tells one start of the endpoint from another under the same ID;
	// zero where it isn't told.
	Started int64
}

// record is an entry with what is known of its end.
type record struct {
	Entry
	// lapsed is when its line went while the registry was out of order; zero for
	// never. Until the line had time to come back, the endpoint counts as there.
	lapsed time.Time
}

// Directory is not safe for concurrent use.
type Directory struct {
	// returnTime is how long a line may be missing after an outage.
	returnTime time.Duration
	records    map[string]*record
	// restored is when the registry was last back from an outage.
	restored time.Time
	outage   bool
}

// New returns an empty Directory. Lines that went during an outage of the
// registry count as there until returnTime after its end.
func New(returnTime time.Duration) *Directory {
	return &Directory{returnTime: returnTime, records: make(map[string]*record)}
}

// Outage notes that the registry does not answer.
func (d *Directory) Outage() { d.outage = true }

// Restored notes that the registry answers again, since a time.
func (d *Directory) Restored(at time.Time) {
	if d.outage {
		d.outage = false
		d.restored = at
	}
}

// Put takes an entry.
func (d *Directory) Put(e Entry) { d.records[e.ID] = &record{Entry: e} }

// Remove takes the end of an entry.
func (d *Directory) Remove(now time.Time, id string) {
	r := d.records[id]
	if r == nil {
		return
	}
	if r.State == Ready && d.recovering(now) {
		if r.lapsed.IsZero() {
			r.lapsed = now
		}
		return
	}
	delete(d.records, id)
}

// Expire drops the entries that had their time to come back.
func (d *Directory) Expire(now time.Time) {
	if d.recovering(now) {
		return
	}
	for id, r := range d.records {
		if !r.lapsed.IsZero() {
			delete(d.records, id)
		}
	}
}

// recovering reports whether a missing line may still come back.
func (d *Directory) recovering(now time.Time) bool {
	return d.outage || !d.restored.IsZero() && now.Sub(d.restored) < d.returnTime
}

// Usable lists the entries that get work.
func (d *Directory) Usable() []Entry {
	var list []Entry
	for _, r := range d.records {
		if r.State == Ready {
			list = append(list, r.Entry)
		}
	}
	return list
}

// Entry returns the entry with the ID.
func (d *Directory) Entry(id string) (Entry, bool) {
	r := d.records[id]
	if r == nil {
		return Entry{}, false
	}
	return r.Entry, true
}

// Len is the number of entries.
func (d *Directory) Len() int { return len(d.records) }
