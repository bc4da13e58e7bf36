package coordination

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// absence is a VM that did not answer.
type absence struct {
	// misses counts the spans of time in a row in which it did not answer, the
	// last of them from missedAt.
	misses   int
	missedAt time.Time
	// until is when it is asked again, and pause how long it was passed over.
	until time.Time
	pause time.Duration
}

// holders chooses the holder of each group among the live VMs.
type holders struct {
	vm string
	// live are the VMs that may have requests in flight, also those that leave.
	live   map[string]Member
	absent map[string]absence
	// last are the holders of the groups that were asked for.
	last map[string]Member
	// ring has the VMs that are not passed over until ringUntil.
	ring      *rendezvous.Rendezvous
	ringUntil time.Time
}

func newHolders(vm string) holders {
	h := holders{vm: vm, absent: make(map[string]absence), last: make(map[string]Member)}
	h.set(nil)
	return h
}

// set replaces the live VMs; this one is always among them. It returns those
// that are gone, also those that have started anew.
func (h *holders) set(live []Member) []string {
	was := h.live
	h.live = make(map[string]Member, len(live)+1)
	for _, m := range live {
		h.live[m.VM] = m
	}
	if _, ok := h.live[h.vm]; !ok {
		h.live[h.vm] = Member{VM: h.vm}
	}
	h.ring = nil
	var gone []string
	for vm, m := range was {
		if vm != h.vm && h.live[vm].Incarnation != m.Incarnation {
			gone = append(gone, vm)
			delete(h.absent, vm)
		}
	}
	return gone
}

func (h *holders) member(vm string) (Member, bool) {
	m, ok := h.live[vm]
	return m, ok
}

// of returns the holder of the group: the first VM in the group's order that is
// not passed over, so that all VMs that miss it turn to the same one.
func (h *holders) of(now time.Time, group string) Member {
	if h.ring == nil || !h.ringUntil.IsZero() && now.After(h.ringUntil) {
		h.build(now)
	}
	return h.live[h.ring.Lookup(group)]
}

// build makes the ring of the VMs that may hold: those that stay, or, where none
// stays, those that leave.
func (h *holders) build(now time.Time) {
	h.ringUntil = time.Time{}
	var staying, leaving []string
	for vm, m := range h.live {
		switch {
		case h.passedOver(now, vm):
		case m.Leaving:
			leaving = append(leaving, vm)
		default:
			staying = append(staying, vm)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	h.ring = rendezvous.New(staying, xxhash.Sum64String)
}

// passedOver reports whether a VM is not asked for now, and has the ring made anew
// when it is again.
func (h *holders) passedOver(now time.Time, vm string) bool {
	a, absent := h.absent[vm]
	if !absent || vm == h.vm || !now.Before(a.until) {
		return false
	}
	if h.ringUntil.IsZero() || a.until.Before(h.ringUntil) {
		h.ringUntil = a.until
	}
	return true
}

// lost notes that a VM did not answer; refused says that there is nobody. It
// reports whether the VM is passed over from now on. Calls that wait side by side
// count once.
func (h *holders) lost(now time.Time, vm string, refused bool) bool {
	a := h.absent[vm]
	if now.Before(a.until) {
		return false
	}
	if !refused && now.Sub(a.missedAt) < askTimeout/2 {
		return false
	}
	a.misses, a.missedAt = a.misses+1, now
	if !refused && a.misses < maxMisses {
		h.absent[vm] = a
		return false
	}
	a.misses = 0
	a.pause = min(max(holderPause, 2*a.pause), maxHolderPause)
	a.until = now.Add(a.pause)
	h.absent[vm] = a
	h.ring = nil
	return true
}

// holder returns the holder of the service's endpoints, and tells a new one of
// the jobs in flight.
func (c *Coordinator) holder(service string) Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.holders.of(time.Now(), service)
	was, known := c.holders.last[service]
	if was.same(m) {
		return m
	}
	c.holders.last[service] = m
	c.term++
	c.log.Emit(event.HolderChanged{Service: service, Holder: m.VM, Was: was.VM, Live: len(c.holders.live)})
	if m.VM != c.vm && known {
		c.handOver(service, m)
	}
	return m
}

// handOver tells a new holder of all jobs in flight; the lock is held.
func (c *Coordinator) handOver(service string, to Member) {
	var notes []note
	for _, j := range c.jobs {
		if j.Service == service && j.placement != nil {
			j.Term = c.term
			notes = append(notes, note{Job: j.ID, Adopted: c.adopted(j)})
		}
	}
	c.senderLocked(to).reset(reset{service, c.term}, notes)
}

// answered notes that a VM answers.
func (c *Coordinator) answered(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holders.absent, m.VM)
}

// lost passes over a holder that did not answer, for a while, and hands what it
// held to the next ones.
func (c *Coordinator) lost(holder Member, err error) {
	c.mu.Lock()
	refused := !errors.Is(err, context.DeadlineExceeded)
	news := c.holders.lost(time.Now(), holder.VM, refused)
	c.mu.Unlock()
	if !news {
		return
	}
	c.log.Emit(event.HolderLost{Holder: holder.VM, Reason: err.Error()})
	c.follow()
}

// follow looks for new holders of all groups that were asked for.
func (c *Coordinator) follow() {
	c.mu.Lock()
	services := make([]string, 0, len(c.holders.last))
	for s := range c.holders.last {
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
		c.local.dropOwner(vm)
	}
	c.follow()
}
