package membership

import (
	"slices"
	"time"
)

// syncGrowth is the growth of the time between two exchanges, which are frequent
// after the start, when VMs that start together know little of each other.
const syncGrowth = 2

// Tick passes the time. It is called several times in a probe interval.
func (n *Node) Tick(now time.Time) []Action {
	n.noticePause(now)
	actions := n.expire(now)
	if !now.Before(n.nextSync) {
		actions = append(actions, n.sync(now)...)
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		actions = append(actions, n.probe()...)
	}
	return actions
}

// noticePause gives the others the time back that this VM itself was paused
// for.
func (n *Node) noticePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if !n.lastTick.IsZero() && gap > n.cfg.PauseLimit {
		clear(n.probes)
		for _, m := range n.members {
			m.checking = false
			m.deadline = m.deadline.Add(gap)
		}
	}
	n.lastTick = now
}

// expire probes suspected VMs a last time, and forgets those that are dead for
// long.
func (n *Node) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Clone(n.ids) {
		m := n.members[id]
		switch {
		case m.Status == StatusSuspect && !m.checking && !now.Before(m.deadline):
			m.checking = true
			actions = append(actions, n.ask(m.Record))
		case m.Status == StatusDead && now.Sub(m.died) > n.cfg.Forget:
			n.remove(id)
		}
	}
	return actions
}

// sync asks one VM for all that it knows: at first as soon as there is one, and
// then seldom.
func (n *Node) sync(now time.Time) []Action {
	with := n.sample(1, "")
	if len(with) == 0 {
		return nil
	}
	n.syncWait = min(max(n.syncWait*syncGrowth, n.cfg.ProbeInterval), n.cfg.SyncInterval)
	// Half to one and a half intervals, so that VMs that start together do not
	// stay in step.
	n.nextSync = now.Add(time.Duration((0.5 + n.rnd.Float64()) * float64(n.syncWait)))
	return []Action{Sync{with[0]}}
}

// SyncFailed notes that an exchange was not answered; the next one comes soon.
func (n *Node) SyncFailed() { n.syncWait = 0 }

// Synced takes another VM's records and marks. The records are not told on: who
// knows them tells them.
func (n *Node) Synced(now time.Time, records []Record, marks []Mark) {
	for _, r := range records {
		if (News{Record: &r}).valid() {
			n.join(now, r)
		}
	}
	for _, m := range marks {
		n.hear(now, News{Mark: &m})
	}
}

// probe asks the next VM whether it lives.
func (n *Node) probe() []Action {
	to, ok := n.target()
	if !ok {
		return nil
	}
	return []Action{n.ask(to)}
}

func (n *Node) ask(to Record) Action {
	n.seq++
	n.probes[n.seq] = &outstanding{to: to.ID, waiting: 1}
	return Probe{n.seq, to, n.message(to.ID), n.cfg.ProbeTimeout}
}

// target is the next VM in a random order that is drawn anew for each round, so
// that each VM is probed once a round.
func (n *Node) target() (Record, bool) {
	if n.rnd.Float64() < n.cfg.DeadProbeShare {
		if r, ok := n.dead(); ok {
			return r, true
		}
	}
	for range 2 {
		for len(n.order) > 0 {
			id := n.order[0]
			n.order = n.order[1:]
			if m := n.members[id]; m != nil && m.Status != StatusDead {
				return m.Record, true
			}
		}
		n.order = slices.Clone(n.ids)
		n.rnd.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	return Record{}, false
}

// dead returns a random dead VM.
func (n *Node) dead() (Record, bool) {
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

// sample returns up to count living VMs at random, without the VM except.
func (n *Node) sample(count int, except string) []Record {
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

// Sample returns up to count VMs at random that live and do not leave.
func (n *Node) Sample(count int) []Record {
	var list []Record
	for _, r := range n.sample(len(n.members), "") {
		if m := n.members[r.ID]; !m.candidate && !r.Leaving {
			list = append(list, r)
		}
	}
	return list[:min(count, len(list))]
}

// Acked takes the answer to a probe: the probed VM's message.
func (n *Node) Acked(now time.Time, seq uint64, msg Message) {
	delete(n.probes, seq)
	n.take(now, msg)
}

// AckedThrough takes the word of another VM that the probed one answered.
func (n *Node) AckedThrough(now time.Time, seq uint64, r Record) {
	delete(n.probes, seq)
	r.Status = StatusAlive
	n.learn(now, r)
}

// Failed notes that a probe was not answered. After a direct probe, others are
// asked to probe; after the last of theirs, the VM is suspected.
func (n *Node) Failed(now time.Time, seq uint64) []Action {
	p := n.probes[seq]
	if p == nil {
		return nil
	}
	p.waiting--
	if p.waiting > 0 {
		return nil
	}
	m := n.members[p.to]
	if m == nil || m.Status == StatusDead {
		delete(n.probes, seq)
		return nil
	}
	if !p.indirect && !m.candidate {
		if actions := n.indirect(seq, p, m.Record); len(actions) > 0 {
			return actions
		}
	}
	delete(n.probes, seq)
	n.suspect(now, m)
	return nil
}

func (n *Node) indirect(seq uint64, p *outstanding, to Record) []Action {
	// The VM itself is asked once more: one lost message is no sign of death.
	others := n.sample(n.cfg.IndirectProbes, to.ID)
	actions := make([]Action, 0, len(others)+1)
	actions = append(actions, Probe{seq, to, n.message(to.ID), 2 * n.cfg.ProbeTimeout})
	for _, via := range others {
		actions = append(actions, IndirectProbe{seq, via, to, 2 * n.cfg.ProbeTimeout})
	}
	p.indirect = true
	p.waiting = len(actions)
	return actions
}

// suspect notes that a VM answered neither this VM nor others. At first it is
// suspected; when it had its time to refute, it is dead. A candidate that
// the list named but that never answered is dropped; the list names it again.
func (n *Node) suspect(now time.Time, m *member) {
	if m.candidate {
		n.remove(m.ID)
		return
	}
	r := m.Record
	switch {
	case m.Status == StatusAlive:
		r.Status = StatusSuspect
	case m.checking:
		r.Status = StatusDead
	}
	n.learn(now, r)
}

// Tell probes up to count VMs out of turn, to spread what is new.
func (n *Node) Tell(count int) []Action {
	sample := n.sample(count, "")
	actions := make([]Action, 0, len(sample))
	for _, r := range sample {
		actions = append(actions, n.ask(r))
	}
	return actions
}

// KeepMarks drops the marks that the function does not want.
func (n *Node) KeepMarks(keep func(Mark) bool) {
	for m := range n.marks {
		if !keep(m) {
			delete(n.marks, m)
		}
	}
}
