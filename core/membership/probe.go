package membership

import (
	"slices"
	"time"
)

// syncGrowth is the factor by which the sync interval grows with each exchange.
// Exchanges are frequent after the start, because VMs that start together have
// little information about each other.
const syncGrowth = 2

// Tick runs the timers and returns the actions that are due. It must be called
// several times per probe interval.
func (n *Node) Tick(now time.Time) []Action {
	n.compensatePause(now)
	actions := n.expire(now)
	if !now.Before(n.nextSync) {
		actions = append(actions, n.sync(now)...)
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		actions = append(actions, n.probeNext()...)
	}
	return actions
}

// compensatePause detects from the time since the last tick that this VM itself was
// paused. It then discards the outstanding probes and extends the deadlines of
// suspected VMs by the length of the pause.
func (n *Node) compensatePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if !n.lastTick.IsZero() && gap > n.cfg.PauseThreshold {
		clear(n.probes)
		for _, m := range n.members {
			m.finalProbe = 0
			m.deadline = m.deadline.Add(gap)
		}
	}
	n.lastTick = now
}

// expire sends a final probe to each suspected VM whose deadline has passed, and
// removes VMs that have been dead for longer than Config.DeadRetention.
func (n *Node) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Clone(n.ids) {
		m := n.members[id]
		switch {
		case m.Status == StatusSuspect && m.finalProbe == 0 && !now.Before(m.deadline):
			actions = append(actions, n.newProbe(m.Record))
			m.finalProbe = n.seq
		case m.Status == StatusDead && now.Sub(m.deadSince) > n.cfg.DeadRetention:
			n.remove(id)
		}
	}
	return actions
}

// sync requests the full state of a random VM. The first exchange takes place as
// soon as there is another VM; the interval then grows to Config.SyncInterval.
func (n *Node) sync(now time.Time) []Action {
	peers := n.sampleAlive(1, "")
	if len(peers) == 0 {
		return nil
	}
	n.scheduleSync(now)
	return []Action{Sync{peers[0]}}
}

// scheduleSync sets the time of the next exchange, after an interval that grows. The
// jitter, half to one and a half intervals, keeps VMs that start together from
// synchronising at the same times.
func (n *Node) scheduleSync(now time.Time) {
	n.syncInterval = min(max(n.syncInterval*syncGrowth, n.cfg.ProbeInterval), n.cfg.SyncInterval)
	n.nextSync = now.Add(time.Duration((0.5 + n.rnd.Float64()) * float64(n.syncInterval)))
}

// SyncFailed handles a failed exchange. It resets the sync interval; an
// exchange that is already scheduled keeps its time.
func (n *Node) SyncFailed() { n.syncInterval = 0 }

// Synced merges another VM's records, marks and notes. The records are not queued for
// dissemination, as the VMs that have them already disseminate them. If there are VMs among
// them that this one didn't know, the next exchange follows soon: after a start of many
// VMs none has the full state for some time.
func (n *Node) Synced(now time.Time, records []Record, marks []Mark, notes []Note) {
	known := n.liveCount()
	for _, r := range records {
		if (Update{Record: &r}).valid() {
			n.mergeRecord(now, r)
		}
	}
	for _, m := range marks {
		n.mergeUpdate(now, Update{Mark: &m})
	}
	for _, note := range notes {
		n.mergeUpdate(now, Update{Note: &note})
	}
	if n.liveCount() > known {
		n.syncInterval = 0
		n.scheduleSync(now)
	}
}

// probeNext returns a probe of the next VM in the round, or nil if there is none.
func (n *Node) probeNext() []Action {
	to, ok := n.nextTarget()
	if !ok {
		return nil
	}
	return []Action{n.newProbe(to)}
}

// newProbe registers an outstanding probe and returns the action that sends it.
func (n *Node) newProbe(to Record) Action {
	n.seq++
	n.probes[n.seq] = &outstandingProbe{to: to.ID, remaining: 1}
	return Probe{n.seq, to, n.message(to.ID), n.cfg.ProbeTimeout}
}

// nextTarget returns the next VM to probe, or false if there is none. The VMs that
// are not dead are probed once per round, in a random order that is drawn for each
// round; a fraction of the probes goes to dead VMs instead.
func (n *Node) nextTarget() (Record, bool) {
	if n.rnd.Float64() < n.cfg.DeadProbeShare {
		if r, ok := n.randomDead(); ok {
			return r, true
		}
	}
	for range 2 {
		for len(n.probeOrder) > 0 {
			id := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if m := n.members[id]; m != nil && m.Status != StatusDead {
				return m.Record, true
			}
		}
		n.probeOrder = slices.Clone(n.ids)
		n.rnd.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	}
	return Record{}, false
}

// randomDead returns a random dead VM, or false if there is none.
func (n *Node) randomDead() (Record, bool) {
	var list []Record
	for _, id := range n.ids {
		if m := n.members[id]; m.Status == StatusDead {
			list = append(list, m.Record)
		}
	}
	if len(list) == 0 {
		return Record{}, false
	}
	return list[n.rnd.IntN(len(list))], true
}

// sampleAlive returns up to count random VMs that are neither suspected nor dead,
// including candidates and excluding the VM except.
func (n *Node) sampleAlive(count int, except string) []Record {
	var list []Record
	for _, id := range n.ids {
		m := n.members[id]
		if id != except && m.Status == StatusAlive {
			list = append(list, m.Record)
		}
	}
	n.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// Sample returns up to count random VMs that are alive and not leaving, excluding
// candidates.
func (n *Node) Sample(count int) []Record {
	var list []Record
	for _, r := range n.sampleAlive(len(n.members), "") {
		if m := n.members[r.ID]; !m.candidate && !r.Leaving {
			list = append(list, r)
		}
	}
	return list[:min(count, len(list))]
}

// Acked handles the reply to a direct probe.
func (n *Node) Acked(now time.Time, seq uint64, msg Message) {
	delete(n.probes, seq)
	n.mergeMessage(now, msg)
}

// AckedIndirectly handles the reply to an indirect probe; r is the probed VM's own
// record as passed on by the relay.
func (n *Node) AckedIndirectly(now time.Time, seq uint64, r Record) {
	delete(n.probes, seq)
	r.Status = StatusAlive
	n.mergeAndQueue(now, r)
}

// Failed handles a probe that was not answered. When a direct probe has failed, it
// returns the probes of the indirect phase; when the last of these has failed too,
// the VM is suspected, or declared dead after a final probe.
func (n *Node) Failed(now time.Time, seq uint64) []Action {
	p := n.probes[seq]
	if p == nil {
		return nil
	}
	p.remaining--
	if p.remaining > 0 {
		return nil
	}
	m := n.members[p.to]
	if m == nil || m.Status == StatusDead {
		delete(n.probes, seq)
		return nil
	}
	if !p.indirect && !m.candidate {
		if actions := n.probeIndirectly(seq, p, m.Record); len(actions) > 0 {
			return actions
		}
	}
	delete(n.probes, seq)
	n.probeFailed(now, m, seq)
	return nil
}

// probeIndirectly starts the indirect phase of a probe and returns its actions.
func (n *Node) probeIndirectly(seq uint64, p *outstandingProbe, to Record) []Action {
	// The direct probe is repeated, because a single lost message does not mean
	// that the VM has failed.
	relays := n.sampleAlive(n.cfg.IndirectProbes, to.ID)
	actions := make([]Action, 0, len(relays)+1)
	actions = append(actions, Probe{seq, to, n.message(to.ID), 2 * n.cfg.ProbeTimeout})
	for _, via := range relays {
		actions = append(actions, IndirectProbe{seq, via, to, 2 * n.cfg.ProbeTimeout})
	}
	p.indirect = true
	p.remaining = len(actions)
	return actions
}

// probeFailed handles a VM that answered neither direct nor indirect probes. A VM
// that was alive becomes suspected; a suspected one whose final probe failed
// becomes dead. A candidate is removed; the next read of the platform's list adds
// it again if it is still listed.
func (n *Node) probeFailed(now time.Time, m *member, seq uint64) {
	if m.candidate {
		n.remove(m.ID)
		return
	}
	r := m.Record
	switch {
	case m.Status == StatusAlive:
		r.Status = StatusSuspect
	case m.finalProbe == seq:
		r.Status = StatusDead
	}
	n.mergeAndQueue(now, r)
}

// Gossip returns probes of up to count random VMs outside the regular round, to
// disseminate queued updates immediately.
func (n *Node) Gossip(count int) []Action {
	sample := n.sampleAlive(count, "")
	actions := make([]Action, 0, len(sample))
	for _, r := range sample {
		actions = append(actions, n.newProbe(r))
	}
	return actions
}

// RetainMarks drops the marks for which keep returns false.
func (n *Node) RetainMarks(keep func(Mark) bool) {
	for m := range n.marks {
		if !keep(m) {
			delete(n.marks, m)
		}
	}
}
