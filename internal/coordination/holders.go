package coordination

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// backoffState is the state of a VM that did not respond.
type backoffState struct {
	// misses is the number of consecutive misses, where concurrent timeouts count as
	// one, and missedAt the time of the last miss.
	misses   int
	missedAt time.Time
	// retryAt is when the VM is called again, and backoff the length of the last
	// back-off.
	retryAt time.Time
	backoff time.Duration
}

// holders chooses the holder of each service among the live VMs, by rendezvous
// hashing.
type holders struct {
	vm string
	// live are the VMs that may have requests in flight, including leaving ones.
	live     map[string]Member
	backoffs map[string]backoffState
	// assigned has the current holder of each service that was looked up.
	assigned map[string]Member
	// hash is the rendezvous hash over the VMs that may be holders. It is rebuilt
	// after hashExpires, the earliest end of a back-off; zero for none.
	hash        *rendezvous.Rendezvous
	hashExpires time.Time
}

func newHolders(vm string) holders {
	h := holders{vm: vm, backoffs: make(map[string]backoffState), assigned: make(map[string]Member)}
	h.set(nil)
	return h
}

// set replaces the live VMs; this VM is always one of them. It returns the VMs that
// are no longer live or have restarted.
func (h *holders) set(live []Member) []string {
	previous := h.live
	h.live = make(map[string]Member, len(live)+1)
	for _, m := range live {
		h.live[m.VM] = m
	}
	if _, ok := h.live[h.vm]; !ok {
		h.live[h.vm] = Member{VM: h.vm}
	}
	h.hash = nil
	var gone []string
	for vm, m := range previous {
		now, found := h.live[vm]
		restarted := m.Incarnation != 0 && now.Incarnation != m.Incarnation
		if vm != h.vm && (!found || restarted) {
			gone = append(gone, vm)
			delete(h.backoffs, vm)
		}
	}
	return gone
}

func (h *holders) member(vm string) (Member, bool) {
	m, ok := h.live[vm]
	return m, ok
}

// lookup returns the holder of the service: the first VM in the service's order
// that is not backed off, so that all VMs to which a holder does not respond fail
// over to the same VM.
func (h *holders) lookup(now time.Time, service string) Member {
	if h.hash == nil || !h.hashExpires.IsZero() && now.After(h.hashExpires) {
		h.rebuild(now)
	}
	return h.live[h.hash.Lookup(service)]
}

// rebuild computes the hash over the VMs that may be holders: those that are not
// leaving or backed off, or, if there are none, the leaving ones.
func (h *holders) rebuild(now time.Time) {
	h.hashExpires = time.Time{}
	var staying, leaving []string
	for vm, m := range h.live {
		switch {
		case h.backedOff(now, vm):
		case m.Leaving:
			leaving = append(leaving, vm)
		default:
			staying = append(staying, vm)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	h.hash = rendezvous.New(staying, xxhash.Sum64String)
}

// backedOff reports whether the VM is backed off, and limits the hash's lifetime to
// the end of the back-off.
func (h *holders) backedOff(now time.Time, vm string) bool {
	a, found := h.backoffs[vm]
	if !found || vm == h.vm || !now.Before(a.retryAt) {
		return false
	}
	if h.hashExpires.IsZero() || a.retryAt.Before(h.hashExpires) {
		h.hashExpires = a.retryAt
	}
	return true
}

// recordMiss records a failed call to a VM; refused is true if it failed otherwise
// than by a timeout, which backs the VM off immediately. Concurrent timeouts count as
// one miss. It reports whether the VM has been backed off by this miss.
func (h *holders) recordMiss(now time.Time, vm string, refused bool) bool {
	a := h.backoffs[vm]
	if now.Before(a.retryAt) {
		return false
	}
	if !refused && now.Sub(a.missedAt) < callTimeout/2 {
		return false
	}
	a.misses, a.missedAt = a.misses+1, now
	if !refused && a.misses < maxMisses {
		h.backoffs[vm] = a
		return false
	}
	a.misses = 0
	a.backoff = min(max(minBackoff, 2*a.backoff), maxBackoff)
	a.retryAt = now.Add(a.backoff)
	h.backoffs[vm] = a
	h.hash = nil
	return true
}

// holder returns the holder of the service. If the holder has changed, it sends the
// placed jobs to the new one.
func (c *Coordinator) holder(service string) Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.holders.lookup(time.Now(), service)
	previous, known := c.holders.assigned[service]
	if previous.sameInstance(m) {
		return m
	}
	c.holders.assigned[service] = m
	c.term++
	c.log.Emit(event.HolderChanged{Service: service, Holder: m.VM, Was: previous.VM, Live: len(c.holders.live)})
	c.local.setHolder(service, m.VM == c.vm)
	if m.VM != c.vm && known {
		c.transferJobs(service, m)
	}
	return m
}

// transferJobs sends all placed jobs of the service to its new holder, with the crashes and
// limits of its endpoints, and the work of this VM's requests. The caller must hold the lock.
func (c *Coordinator) transferJobs(service string, to Member) {
	var updates []jobUpdate
	for _, j := range c.jobs {
		if j.Service == service && j.placement != nil {
			j.Term = c.term
			updates = append(updates, jobUpdate{Job: j.ID, Adopted: c.encodeAdopted(j)})
		}
	}
	now := time.Now()
	c.senderLocked(to).reset(updateMessage{
		Reset:     &reset{service, c.term},
		Updates:   updates,
		Crashes:   encodeCrashes(now, c.local.crashes(service)),
		Limits:    encodeLimits(now, c.local.limits(service)),
		Costs:     encodeCosts(c.local.costs(service)),
		Shares:    c.local.shares(service),
		encodedAt: now,
	})
}

// Resend sends all placed jobs to their holders again. It is called when other VMs have
// taken this VM for dead, and holders among them have dropped its jobs.
func (c *Coordinator) Resend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	for service, holder := range c.holders.assigned {
		if holder.VM != c.vm {
			c.transferJobs(service, holder)
		}
	}
}

// markResponsive clears the back-off state of a VM that has responded.
func (c *Coordinator) markResponsive(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holders.backoffs, m.VM)
}

// markUnresponsive records a failed call to a holder. If that backs the holder off,
// its services move to their next holders.
func (c *Coordinator) markUnresponsive(holder Member, err error) {
	c.mu.Lock()
	refused := !errors.Is(err, context.DeadlineExceeded)
	backedOff := c.holders.recordMiss(time.Now(), holder.VM, refused)
	c.mu.Unlock()
	if !backedOff {
		return
	}
	c.log.Emit(event.HolderLost{Holder: holder.VM, Reason: err.Error()})
	c.updateHolders()
}

// updateHolders updates the holders of all services that were looked up.
func (c *Coordinator) updateHolders() {
	c.mu.Lock()
	services := make([]string, 0, len(c.holders.assigned))
	for s := range c.holders.assigned {
		services = append(services, s)
	}
	c.mu.Unlock()
	for _, s := range services {
		c.holder(s)
	}
}

// SetMembers replaces the live VMs.
func (c *Coordinator) SetMembers(live []Member) {
	c.mu.Lock()
	gone := c.holders.set(live)
	for _, vm := range gone {
		delete(c.senders, vm)
	}
	c.mu.Unlock()
	for _, vm := range gone {
		c.local.dropJobs(vm)
	}
	c.updateHolders()
}
