package entry

import (
	"maps"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// relistTimeout is how long an endpoint may be missing from the registry after an
// outage of the store before it is removed. Live endpoints are listed again within
// two seconds.
const relistTimeout = 2 * time.Second

const (
	// keepHeartbeats is the number of heartbeat intervals for which endpoints are kept
	// that a restored store has lost: live ones write their rows again, and the store
	// removes those that miss three heartbeats.
	keepHeartbeats = 4
	minKeepFor     = 3 * time.Second
	// maxReasonBytes bounds the reason that is logged for a row, as it may quote the row.
	maxReasonBytes = 200
)

// endpointSink receives the endpoints that requests may be dispatched to.
type endpointSink interface {
	SetEndpoints(list []dispatch.Endpoint)
}

// registry applies the rows of the endpoint registry to a directory, and publishes
// the usable endpoints to a sink. It is safe for concurrent use.
type registry struct {
	decoder provider.Decoder
	log     *event.Logger
	sink    endpointSink
	// announce tells the other VMs that an endpoint leaves.
	announce func(directory.Incarnation)
	// keepFor is how long endpoints are kept that a restored store has lost.
	keepFor time.Duration

	// publication is held from a change of the directory until the sink has the endpoints. It
	// is locked before mu.
	publication sync.Mutex
	// mu is never held while the sink is called, which decides on requests that wait. No other lock
	// is taken while it is held: the membership looks up endpoints with its own lock.
	mu        sync.Mutex
	directory *directory.Directory
	// coldUntil has when the endpoints that stated to be cold will be warm, by ID.
	coldUntil map[string]time.Time
	// unreadable has the endpoints, of those listed, whose limit could not be read.
	unreadable map[directory.Incarnation]bool
	// unreadableRows has the reasons that were logged for rows that name no endpoint, by key.
	unreadableRows map[string]string
	listed         bool
	expiry         *time.Timer
}

// newRegistry returns an empty registry of endpoints that write a heartbeat to the
// store at the given interval. announce tells the other VMs that an endpoint leaves.
func newRegistry(decoder provider.Decoder, log *event.Logger, sink endpointSink, heartbeat time.Duration, announce func(directory.Incarnation)) *registry {
	return &registry{
		decoder: decoder, log: log, sink: sink, directory: directory.New(relistTimeout),
		announce:  announce,
		coldUntil: make(map[string]time.Time), unreadable: make(map[directory.Incarnation]bool), unreadableRows: make(map[string]string),
		keepFor: max(minKeepFor, keepHeartbeats*heartbeat),
	}
}

// Lookup implements gateway.Directory.
func (r *registry) Lookup(id string) (directory.Entry, directory.Availability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Lookup(time.Now(), id)
}

// Paused implements gateway.Directory.
func (r *registry) Paused(service string) ([]string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Paused(time.Now(), service)
}

// Observed implements gateway.Directory. It stops the use of an endpoint that leaves,
// announces that to the other VMs, and pauses an endpoint that asks for it.
func (r *registry) Observed(i directory.Incarnation, h provider.ResponseHeader) {
	if h.RetryAfter > 0 {
		r.pause(i, h.RetryAfter)
	}
	if h.UnreadableLimit != "" {
		r.logUnreadableLimit(i, h.UnreadableLimit)
	}
	if h.Leaving && r.markLeaving(i, sourceResponse) {
		r.announce(i)
	}
}

// Sources of the news that an endpoint leaves, in the log.
const (
	sourceResponse = "response"
	sourcePeer     = "peer"
)

// setEvacuated stops the use of a failure domain's endpoints, or takes that back.
func (r *registry) setEvacuated(domain string, evacuated bool) {
	r.update(func() bool {
		if !r.directory.SetEvacuated(domain, evacuated) {
			return false
		}
		if evacuated {
			r.log.Emit(event.DomainEvacuated{Domain: domain})
		} else {
			r.log.Emit(event.EvacuationEnded{Domain: domain})
		}
		return true
	})
}

// markLeaving stops the use of an incarnation and reports whether its leaving is news.
func (r *registry) markLeaving(i directory.Incarnation, source string) bool {
	return r.update(func() bool {
		if !r.directory.MarkLeaving(i) {
			return false
		}
		r.log.Emit(event.EndpointLeaving{Endpoint: i.ID, Started: i.Started, Source: source})
		return true
	})
}

// update changes the directory, and passes the usable endpoints to the sink if change returns
// true, which update then returns. change is called with the lock.
func (r *registry) update(change func() bool) bool {
	r.publication.Lock()
	defer r.publication.Unlock()
	r.mu.Lock()
	if !change() {
		r.mu.Unlock()
		return false
	}
	list := r.dispatchable()
	r.mu.Unlock()
	r.sink.SetEndpoints(list)
	return true
}

func (r *registry) pause(i directory.Incarnation, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.directory.Pause(time.Now(), i, retryAfter)
	r.log.Emit(event.EndpointPaused{Endpoint: i.ID, RetryAfter: retryAfter, Pause: max(0, time.Until(until))})
}

// logUnreadableLimit logs that an endpoint's limit can't be read, once for an incarnation.
func (r *registry) logUnreadableLimit(i directory.Incarnation, limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, listed := r.directory.Entry(i.ID)
	if !listed || e.Incarnation() != i || r.unreadable[i] {
		return
	}
	r.unreadable[i] = true
	r.log.Emit(event.EndpointLimitUnreadable{Endpoint: i.ID, Started: i.Started, Limit: limit})
}

// lists reports whether the registry lists the incarnation.
func (r *registry) lists(i directory.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, listed := r.directory.Entry(i.ID)
	return listed && e.Incarnation() == i
}

// Changed implements mirror.Observer.
func (r *registry) Changed(rows []provider.Row) {
	r.update(func() bool {
		publish := !r.listed
		r.listed = true
		for _, row := range rows {
			publish = r.apply(row) || publish
		}
		return publish
	})
}

// apply applies one row to the directory and reports whether the endpoints must be
// published again; the lock is held.
func (r *registry) apply(row provider.Row) bool {
	if row.Removed {
		r.log.Emit(event.EndpointUnlisted{Endpoint: row.Key, Row: row.Version})
		r.directory.Remove(time.Now(), row.Key)
		delete(r.coldUntil, row.Key)
		delete(r.unreadableRows, row.Key)
		return true
	}
	e, ok := r.decode(row)
	if !ok {
		r.directory.Remove(time.Now(), row.Key)
		return true
	}
	known, _ := r.directory.Entry(e.ID)
	r.directory.Put(e)
	delete(r.coldUntil, e.ID)
	if e.ColdFor > 0 {
		r.coldUntil[e.ID] = time.Now().Add(e.ColdFor)
	}
	// The same time for which an endpoint is cold, written again, ends later.
	return known != e || e.ColdFor > 0
}

// decode decodes a row, and logs an endpoint that is new or has changed; the lock
// is held. It returns false for a row that can't be decoded.
func (r *registry) decode(row provider.Row) (directory.Entry, bool) {
	e, err := r.decoder.Entry(row)
	if err != nil {
		r.logUnreadableRow(row, err.Error())
		return directory.Entry{}, false
	}
	delete(r.unreadableRows, row.Key)
	if known, _ := r.directory.Entry(e.ID); known != e {
		r.log.Emit(event.EndpointListed{
			Endpoint: e.ID, Service: e.Service, Address: e.Address,
			Draining: e.State == directory.Draining, Row: row.Version,
		})
	}
	return e, true
}

// logUnreadableRow logs that a row names no endpoint, once for each row and reason: its writer
// may write it again and again. The lock is held.
func (r *registry) logUnreadableRow(row provider.Row, reason string) {
	reason = reason[:min(len(reason), maxReasonBytes)]
	if r.unreadableRows[row.Key] == reason {
		return
	}
	r.unreadableRows[row.Key] = reason
	r.log.Emit(event.EntryUnreadable{Endpoint: row.Key, Row: row.Version, Reason: reason})
}

// Outage implements mirror.Observer.
func (r *registry) Outage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Outage()
}

// Restored implements mirror.Observer.
func (r *registry) Restored(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Restored(at)
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.expiry = time.AfterFunc(relistTimeout, r.expire)
}

func (r *registry) expire() {
	r.update(func() bool {
		r.directory.Expire(time.Now())
		return true
	})
}

// Supersedes implements mirror.Observer. An endpoint's row that may be from a backup
// replaces a later one only if it tells of a later incarnation, or that the same one
// drains.
func (r *registry) Supersedes(known, row provider.Row, rewritten bool) bool {
	if rewritten || row.Removed || known.Removed {
		return rewritten
	}
	old, err := r.decoder.Entry(known)
	if err != nil {
		return true
	}
	e, err := r.decoder.Entry(row)
	if err != nil {
		return false
	}
	return e.Started > old.Started || e.Started == old.Started && e.State == directory.Draining
}

// KeepFor implements mirror.Observer.
func (r *registry) KeepFor() time.Duration { return r.keepFor }

// dispatchable returns the endpoints that requests may be dispatched to; the lock is held.
func (r *registry) dispatchable() []dispatch.Endpoint {
	usable := r.directory.Usable()
	maps.DeleteFunc(r.unreadable, func(i directory.Incarnation, _ bool) bool {
		e, listed := r.directory.Entry(i.ID)
		return !listed || e.Incarnation() != i
	})
	list := make([]dispatch.Endpoint, 0, len(usable))
	for _, e := range usable {
		list = append(list, dispatch.Endpoint{ID: e.ID, Service: e.Service, Domain: e.Domain, Started: e.Started, Slots: e.Slots, ColdUntil: r.coldUntil[e.ID]})
	}
	return list
}

// ready reports whether the endpoints have been listed at least once.
func (r *registry) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// usable returns the number of endpoints that requests may be dispatched to.
func (r *registry) usable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.Usable())
}

func (r *registry) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expiry != nil {
		r.expiry.Stop()
	}
}
