package directory

import (
	"slices"
	"time"
)

const (
	// maxLeaving bounds the incarnations that are remembered as leaving.
	maxLeaving = 16384
	// MaxPause bounds the time for which an endpoint may ask for no requests.
	MaxPause = time.Hour
)

// Availability tells whether an endpoint may be sent requests.
type Availability uint8

// The availabilities.
const (
	// Available endpoints may be sent requests.
	Available Availability = iota
	// Unlisted endpoints are not in the registry.
	Unlisted
	// Leaving endpoints only finish their in-flight requests.
	Leaving
	// Paused endpoints have asked this VM for no requests for a while.
	Paused
	// Evacuated endpoints are in a failure domain that is to get no requests. They
	// finish their in-flight ones.
	Evacuated
)

// String returns the availability's name in logs.
func (a Availability) String() string {
	switch a {
	case Available:
		return "available"
	case Unlisted:
		return "unlisted"
	case Leaving:
		return "leaving"
	case Paused:
		return "paused"
	case Evacuated:
	}
	return "evacuated"
}

// MarkLeaving records that an incarnation leaves, which is never undone. It reports
// whether that is news.
func (d *Directory) MarkLeaving(i Incarnation) bool {
	if d.leaving[i] {
		return false
	}
	d.leaving[i] = true
	d.leavingOrder = append(d.leavingOrder, i)
	if len(d.leavingOrder) > maxLeaving {
		delete(d.leaving, d.leavingOrder[0])
		d.leavingOrder = d.leavingOrder[1:]
	}
	if r := d.records[i.ID]; r != nil && r.Incarnation() == i {
		r.State = Draining
	}
	return true
}

// SetEvacuated records whether a failure domain is evacuated, which holds for endpoints
// that are listed later as well. It reports whether that is news.
func (d *Directory) SetEvacuated(domain string, evacuated bool) bool {
	if d.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		d.evacuated[domain] = true
	} else {
		delete(d.evacuated, domain)
	}
	return true
}

// Pause records that an incarnation has asked for no requests for the given time, of
// which at most MaxPause counts. A time that is not positive, or of an incarnation that is not
// listed, is ignored, and an earlier pause is never shortened. It returns the end of the pause.
func (d *Directory) Pause(now time.Time, i Incarnation, pause time.Duration) time.Time {
	r := d.records[i.ID]
	if r == nil || r.Incarnation() != i || pause <= 0 {
		return d.pausedUntil[i.ID]
	}
	until := now.Add(min(pause, MaxPause))
	if until.After(d.pausedUntil[i.ID]) {
		d.pausedUntil[i.ID] = until
	}
	return d.pausedUntil[i.ID]
}

// Lookup returns the entry with the given ID and whether requests may be sent to the
// endpoint now.
func (d *Directory) Lookup(now time.Time, id string) (Entry, Availability) {
	r := d.records[id]
	switch {
	case r == nil:
		return Entry{}, Unlisted
	case r.State != Ready:
		return r.Entry, Leaving
	case d.evacuated[r.Domain]:
		return r.Entry, Evacuated
	case now.Before(d.pausedUntil[id]):
		return r.Entry, Paused
	}
	return r.Entry, Available
}

// Paused returns the sorted IDs of the service's endpoints that are paused. If no
// other endpoint of the service is ready, wait is the time until the first of them may
// be sent requests again; otherwise it is zero.
func (d *Directory) Paused(now time.Time, service string) (ids []string, wait time.Duration) {
	d.expirePauses(now)
	if len(d.pausedUntil) == 0 {
		return nil, 0
	}
	ready := 0
	for id, r := range d.records {
		if r.Service != service || r.State != Ready || d.evacuated[r.Domain] {
			continue
		}
		ready++
		until, paused := d.pausedUntil[id]
		if !paused {
			continue
		}
		if len(ids) == 0 || until.Sub(now) < wait {
			wait = until.Sub(now)
		}
		ids = append(ids, id)
	}
	if len(ids) < ready {
		wait = 0
	}
	slices.Sort(ids)
	return ids, wait
}

func (d *Directory) expirePauses(now time.Time) {
	for id, until := range d.pausedUntil {
		if !now.Before(until) || d.records[id] == nil {
			delete(d.pausedUntil, id)
		}
	}
}
