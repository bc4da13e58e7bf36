package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// member is the state that this VM keeps about another VM.
type member struct {
	Record
	// candidate is set while the VM is known only from the platform's list and no
	// record of it has been received.
	candidate bool
	// initiallyProbed is set once ProbeCandidates has probed the candidate.
	initiallyProbed bool
	// deadline is when a suspected VM's time to refute ends and the final probe is
	// sent.
	deadline time.Time
	// finalProbe is the number of the last probe of a suspected VM whose deadline has
	// passed; zero before.
	finalProbe uint64
	// deadSince is when the VM was declared dead.
	deadSince time.Time
	// lastContact is when the last message of the VM arrived.
	lastContact time.Time
	// configuration is the highest configuration version that the VM has reported,
	// digest its latest digest.
	configuration int64
	digest        []byte
}

// Node holds the protocol state of one VM. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	rnd     *rand.Rand
	self    Record
	members map[string]*member
	// ids are the members' IDs in ascending order. Iterating over them instead of
	// the map makes a run reproducible from its seed.
	ids      []string
	marks    map[Mark]bool
	notes    map[string]Note
	queue    *queue
	changes  []Change
	newMarks []Mark
	newNotes []Note

	configuration int64
	digest        []byte

	probes       map[uint64]*outstandingProbe
	seq          uint64
	probeOrder   []string
	nextProbe    time.Time
	nextSync     time.Time
	syncInterval time.Duration
	lastTick     time.Time
}

// outstandingProbe is a probe that has not been answered yet.
type outstandingProbe struct {
	to string
	// indirect is set in the indirect phase of the probe.
	indirect bool
	// remaining is the number of requests of the current phase that have not
	// failed yet.
	remaining int
}

// New returns a Node for the VM self, without any other members.
func New(cfg Config, self Record, rnd *rand.Rand) *Node {
	n := &Node{
		cfg:     cfg,
		rnd:     rnd,
		self:    self,
		members: make(map[string]*member),
		marks:   make(map[Mark]bool),
		notes:   make(map[string]Note),
		queue:   newQueue(),
		probes:  make(map[uint64]*outstandingProbe),
	}
	n.queue.put(Update{Record: n.selfCopy()})
	return n
}

// Self returns this VM's own record.
func (n *Node) Self() Record { return n.self }

// SetConfiguration sets the configuration version that this VM reports. A version
// lower than the current one is ignored.
func (n *Node) SetConfiguration(version int64) { n.configuration = max(n.configuration, version) }

// SetDigest sets the digest that this VM sends. A digest longer than
// Config.MaxDigestBytes is replaced by none.
func (n *Node) SetDigest(digest []byte) {
	if len(digest) > n.cfg.MaxDigestBytes {
		digest = nil
	}
	n.digest = digest
}

// Leave marks this VM as leaving, for the rest of its incarnation.
func (n *Node) Leave() {
	if n.self.Leaving {
		return
	}
	n.self.Leaving = true
	n.queue.put(Update{Record: n.selfCopy()})
}

// MarkEndpoint adds a mark and queues it for dissemination. It reports whether the
// mark is new.
func (n *Node) MarkEndpoint(m Mark) bool {
	if n.marks[m] {
		return false
	}
	n.marks[m] = true
	n.newMarks = append(n.newMarks, m)
	n.queue.put(Update{Mark: &m})
	return true
}

// SetNote adds a note and queues it for dissemination, unless the one with its key holds
// in its place. It reports whether the note is new.
func (n *Node) SetNote(note Note) bool {
	known, ok := n.notes[note.Key]
	if ok && !note.supersedes(known) {
		return false
	}
	n.notes[note.Key] = note
	n.newNotes = append(n.newNotes, note)
	n.queue.put(Update{Note: &note})
	return true
}

// NewNotes returns the new notes since the last call.
func (n *Node) NewNotes() []Note {
	notes := n.newNotes
	n.newNotes = nil
	return notes
}

// Notes returns all notes, sorted by key.
func (n *Node) Notes() []Note {
	list := slices.Collect(maps.Values(n.notes))
	slices.SortFunc(list, func(a, b Note) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// RetainNotes drops the notes for which keep returns false.
func (n *Node) RetainNotes(keep func(Note) bool) {
	maps.DeleteFunc(n.notes, func(_ string, note Note) bool { return !keep(note) })
}

// Changes returns the record changes and the new marks since the last call.
func (n *Node) Changes() ([]Change, []Mark) {
	changes, marks := n.changes, n.newMarks
	n.changes, n.newMarks = nil, nil
	return changes, marks
}

// Records returns the records of all VMs, including this one, sorted by ID.
// Candidates are left out.
func (n *Node) Records() []Record {
	list := []Record{n.self}
	for _, m := range n.members {
		if !m.candidate {
			list = append(list, m.Record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Record returns the record of a VM, and whether there is one.
func (n *Node) Record(id string) (Record, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	m := n.members[id]
	if m == nil || m.candidate {
		return Record{}, false
	}
	return m.Record, true
}

// Marks returns all marks, sorted by endpoint and incarnation.
func (n *Node) Marks() []Mark {
	list := slices.Collect(maps.Keys(n.marks))
	slices.SortFunc(list, func(a, b Mark) int { return cmp.Compare(a.Endpoint+"/"+a.Incarnation, b.Endpoint+"/"+b.Incarnation) })
	return list
}

// View is the record of another VM together with its last report.
type View struct {
	Record
	// LastContact is when the last message of the VM arrived; zero if none has.
	LastContact   time.Time
	Configuration int64
	Digest        []byte
}

// Views returns the other VMs of which a record has been received, sorted by ID.
func (n *Node) Views() []View {
	var list []View
	for _, id := range n.ids {
		m := n.members[id]
		if !m.candidate {
			list = append(list, View{m.Record, m.lastContact, m.configuration, m.digest})
		}
	}
	return list
}

func (n *Node) selfCopy() *Record {
	r := n.self
	return &r
}

// add adds a VM at a random position of the current probe round, so that VMs that
// start together do not probe in the same order.
func (n *Node) add(id string, m *member) {
	n.members[id] = m
	n.probeOrder = slices.Insert(n.probeOrder, n.rnd.IntN(len(n.probeOrder)+1), id)
	if i, found := slices.BinarySearch(n.ids, id); !found {
		n.ids = slices.Insert(n.ids, i, id)
	}
}

// remove removes a VM from the members.
func (n *Node) remove(id string) {
	delete(n.members, id)
	if i, found := slices.BinarySearch(n.ids, id); found {
		n.ids = slices.Delete(n.ids, i, i+1)
	}
}

// liveCount returns the number of VMs that are not dead, including this one and
// excluding candidates.
func (n *Node) liveCount() int {
	count := 1
	for _, m := range n.members {
		if m.Status != StatusDead && !m.candidate {
			count++
		}
	}
	return count
}

// AddCandidate adds a VM from the platform's list. As the list may be stale, the
// VM does not count as a member until a record of it has been received; it is only
// probed.
func (n *Node) AddCandidate(id, address, failureDomain string) {
	if id == n.self.ID || n.members[id] != nil {
		return
	}
	n.add(id, &member{Record: Record{ID: id, Address: address, FailureDomain: failureDomain}, candidate: true})
}

// ProbeCandidates returns probes of up to count candidates that it has not probed
// before, so that a VM that starts discovers the others soon, and the exchange of the full state
// if that is due.
func (n *Node) ProbeCandidates(now time.Time, count int) []Action {
	var actions []Action
	for _, id := range n.ids {
		m := n.members[id]
		if !m.candidate || m.initiallyProbed || len(actions) >= count {
			continue
		}
		m.initiallyProbed = true
		actions = append(actions, n.newProbe(m.Record))
	}
	if len(actions) > 0 && !now.Before(n.nextSync) {
		actions = append(actions, n.sync(now)...)
	}
	return actions
}

// message returns the message for the VM to. If the receiver is suspected or dead, its record goes
// first, so that it can refute, and leaves room for as many other updates as usual.
func (n *Node) message(to string) Message {
	msg := Message{From: n.self, Configuration: n.configuration, Digest: n.digest}
	if m := n.members[to]; m != nil && !m.candidate && m.Status != StatusAlive {
		r := m.Record
		msg.Updates = append(msg.Updates, Update{Record: &r})
	}
	msg.Updates = append(msg.Updates, n.queue.take(n.cfg.MaxUpdateBytes, n.cfg.retransmitLimit(n.liveCount()))...)
	return msg
}

// Receive handles a probe and returns the reply.
func (n *Node) Receive(now time.Time, msg Message) Message {
	n.mergeMessage(now, msg)
	return n.message(msg.From.ID)
}

// mergeMessage merges the sender's record, its report and the updates of a message.
// It ignores messages without a sender and those in this VM's own name.
func (n *Node) mergeMessage(now time.Time, msg Message) {
	if msg.From.ID == "" || msg.From.ID == n.self.ID {
		return
	}
	from := msg.From
	from.Status = StatusAlive
	n.mergeAndQueue(now, from)
	if m := n.members[from.ID]; m != nil && m.Incarnation == from.Incarnation {
		m.lastContact = now
		m.configuration = max(m.configuration, msg.Configuration)
		if len(msg.Digest) <= n.cfg.MaxDigestBytes {
			m.digest = msg.Digest
		}
	}
	for _, u := range msg.Updates {
		n.mergeUpdate(now, u)
	}
}

// mergeUpdate merges a record, a mark or a note and ignores an invalid update.
func (n *Node) mergeUpdate(now time.Time, u Update) {
	if !u.valid() {
		return
	}
	if u.Mark != nil {
		n.MarkEndpoint(*u.Mark)
		return
	}
	if u.Note != nil {
		n.SetNote(*u.Note)
		return
	}
	n.mergeAndQueue(now, *u.Record)
}

// mergeAndQueue merges a record and, if it changed the stored one, queues the result
// for dissemination.
func (n *Node) mergeAndQueue(now time.Time, r Record) {
	if n.mergeRecord(now, r) {
		merged := n.members[r.ID].Record
		n.queue.put(Update{Record: &merged})
	}
}

// mergeRecord merges a record with the stored one and reports whether the stored
// one changed. A record of this VM itself is refuted if need be and never stored;
// the record of an unknown dead VM is ignored.
func (n *Node) mergeRecord(now time.Time, r Record) bool {
	if r.ID == n.self.ID {
		n.refute(r)
		return false
	}
	m := n.members[r.ID]
	if m == nil {
		if r.Status == StatusDead {
			return false
		}
		m = &member{candidate: true}
		n.add(r.ID, m)
	}
	previous := *m
	merged := r
	if !previous.candidate {
		merged = Merge(previous.Record, r)
	}
	if !previous.candidate && merged == previous.Record {
		return false
	}
	if merged.Incarnation != previous.Incarnation {
		m.configuration, m.digest = 0, nil
	}
	m.Record, m.candidate = merged, false
	n.updateTimers(now, m, previous)
	n.changes = append(n.changes, Change{Previous: previous.Record, Current: merged, New: previous.candidate})
	return true
}

// updateTimers sets the times that depend on the status after a change of the
// record; previous is the member before it.
func (n *Node) updateTimers(now time.Time, m *member, previous member) {
	if m.Status != previous.Status {
		m.finalProbe = 0
	}
	if m.Status == StatusSuspect && previous.Status != StatusSuspect {
		m.deadline = now.Add(n.cfg.suspicionTimeout(n.liveCount()))
	}
	if m.Status == StatusDead && previous.Status != StatusDead {
		m.deadSince = now
	}
}

// refute reacts to a record that calls this VM suspected or dead in its current
// incarnation: it raises this VM's refutation count above that of the record, queues
// this VM's record and reports the change, as others may have given up what they hold
// for this VM.
func (n *Node) refute(r Record) {
	if r.Incarnation != n.self.Incarnation || r.Status == StatusAlive || r.Refutations < n.self.Refutations {
		return
	}
	previous := n.self
	n.self.Refutations = r.Refutations + 1
	n.changes = append(n.changes, Change{Previous: previous, Current: n.self})
	n.queue.put(Update{Record: n.selfCopy()})
}
