package coordination

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// holders chooses the holder of each group among the live VMs.
type holders struct {
	vm   string
	live map[string]Member
	ring *rendezvous.Rendezvous
	// paused are the VMs that did not answer, until when they are passed over.
	paused map[string]time.Time
	// last are the holders of the groups that were asked for.
	last map[string]string
}

func newHolders(vm string) holders {
	h := holders{vm: vm, paused: make(map[string]time.Time), last: make(map[string]string)}
	h.set(nil)
	return h
}

// set replaces the live VMs; this one is always among them. It returns those
// that are gone.
func (h *holders) set(live []Member) []string {
	was := h.live
	h.live = make(map[string]Member, len(live)+1)
	names := make([]string, 0, len(live)+1)
	for _, m := range live {
		h.live[m.VM] = m
		names = append(names, m.VM)
	}
	if _, ok := h.live[h.vm]; !ok {
		h.live[h.vm] = Member{VM: h.vm}
		names = append(names, h.vm)
	}
	h.ring = rendezvous.New(names, xxhash.Sum64String)
	var gone []string
	for vm := range was {
		if _, ok := h.live[vm]; !ok {
			gone = append(gone, vm)
			delete(h.paused, vm)
		}
	}
	return gone
}

func (h *holders) member(vm string) (Member, bool) {
	m, ok := h.live[vm]
	return m, ok
}

// of returns the holder of the group. One that did not answer is passed over for
// this VM itself.
func (h *holders) of(now time.Time, group string) Member {
	m := h.live[h.ring.Lookup(group)]
	if until, paused := h.paused[m.VM]; paused {
		if now.Before(until) {
			return h.live[h.vm]
		}
		delete(h.paused, m.VM)
	}
	return m
}

// holder returns the holder of the service's endpoints, and tells a new one of
// the jobs in flight.
func (c *Coordinator) holder(service string) Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.holders.of(time.Now(), service)
	was := c.holders.last[service]
	if was == m.VM {
		return m
	}
	c.holders.last[service] = m.VM
	c.log.Emit(event.HolderChanged{Holder: m.VM, Was: was, Live: len(c.holders.live)})
	if m.VM != c.vm && was != "" {
		c.handOver(service, m)
	}
	return m
}

// handOver tells a new holder of the jobs in flight; the lock is held.
func (c *Coordinator) handOver(service string, to Member) {
	s := c.senderLocked(to)
	for _, j := range c.jobs {
		if j.Service == service && j.placement != nil {
			s.add(note{Job: j.ID, Adopted: c.adopted(j)})
		}
	}
}

// lost passes over a holder that did not answer for a while.
func (c *Coordinator) lost(holder Member, err error) {
	c.mu.Lock()
	c.holders.paused[holder.VM] = time.Now().Add(holderPause)
	c.mu.Unlock()
	c.log.Emit(event.HolderLost{Holder: holder.VM, Reason: err.Error()})
}

// SetMembers replaces the live VMs.
func (c *Coordinator) SetMembers(live []Member) {
	c.mu.Lock()
	gone := c.holders.set(live)
	services := make([]string, 0, len(c.holders.last))
	for s := range c.holders.last {
		services = append(services, s)
	}
	for _, vm := range gone {
		delete(c.senders, vm)
	}
	c.mu.Unlock()
	for _, vm := range gone {
		c.local.dropOwner(vm)
	}
	for _, s := range services {
		c.holder(s)
	}
}

// submitRemote queues a job of another VM and returns the decision, if it comes
// at once.
func (l *Local) submitRemote(m jobMessage, owner string) decisionMessage {
	l.mu.Lock()
	now := time.Now()
	l.dispatcher.Submit(now, m.job(now, owner))
	decisions := l.dispatcher.Decide(now)
	if l.dispatcher.Waiting() > 0 && !l.armed {
		l.armed = true
		l.wake.Reset(pollInterval)
	}
	l.mu.Unlock()
	answer := decisionMessage{Job: m.ID}
	others := make([]dispatch.Decision, 0, len(decisions))
	for _, d := range decisions {
		if d.JobID() == m.ID {
			answer = encodeDecision(d)
			continue
		}
		others = append(others, d)
	}
	if len(others) > 0 {
		l.told(others)
	}
	return answer
}
