package entry

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// returnTime is how long an endpoint's line may be missing after an outage of
// the store: those that live are back within two seconds.
const returnTime = 2 * time.Second

// endpointSink takes the endpoints that may get work.
type endpointSink interface {
	SetEndpoints(list []dispatch.Endpoint)
}

// registry follows the endpoints' lines. It is safe for concurrent use.
type registry struct {
	decoder provider.Decoder
	log     *event.Logger
	sink    endpointSink

	mu        sync.Mutex
	directory *directory.Directory
	listed    bool
	expiry    *time.Timer
}

func newRegistry(decoder provider.Decoder, log *event.Logger, sink endpointSink) *registry {
	return &registry{decoder: decoder, log: log, sink: sink, directory: directory.New(returnTime)}
}

// Entry implements gateway.Directory.
func (r *registry) Entry(id string) (directory.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Entry(id)
}

// Changed implements mirror.Observer.
func (r *registry) Changed(rows []provider.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !r.listed
	r.listed = true
	for _, row := range rows {
		changed = r.change(row) || changed
	}
	if changed {
		r.tell()
	}
}

// change takes one row and reports whether it matters.
func (r *registry) change(row provider.Row) bool {
	if row.Removed {
		r.log.Emit(event.EndpointUnlisted{Endpoint: row.Key, Row: row.Version})
		r.directory.Remove(time.Now(), row.Key)
		return true
	}
	e, ok := r.decode(row)
	if !ok {
		r.directory.Remove(time.Now(), row.Key)
		return true
	}
	known, _ := r.directory.Entry(e.ID)
	r.directory.Put(e)
	return known != e
}

// decode reads a row, and logs endpoints that are new or have changed.
func (r *registry) decode(row provider.Row) (directory.Entry, bool) {
	e, err := r.decoder.Entry(row)
	if err != nil {
		r.log.Emit(event.EntryUnreadable{Endpoint: row.Key, Row: row.Version, Reason: err.Error()})
		return directory.Entry{}, false
	}
	if known, _ := r.directory.Entry(e.ID); known != e {
		r.log.Emit(event.EndpointListed{
			Endpoint: e.ID, Service: e.Service, Address: e.Address,
			Draining: e.State == directory.Draining, Row: row.Version,
		})
	}
	return e, true
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
	r.expiry = time.AfterFunc(returnTime, r.expire)
}

func (r *registry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Expire(time.Now())
	r.tell()
}

// tell hands on the endpoints that may get work; the lock is held.
func (r *registry) tell() {
	usable := r.directory.Usable()
	list := make([]dispatch.Endpoint, 0, len(usable))
	for _, e := range usable {
		list = append(list, dispatch.Endpoint{ID: e.ID, Service: e.Service, Slots: e.Slots})
	}
	r.sink.SetEndpoints(list)
}

// ready reports whether the endpoints were listed once.
func (r *registry) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// usable is the number of endpoints that may get work.
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
