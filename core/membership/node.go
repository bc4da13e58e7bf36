package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// member is a VM as this VM sees it.
type member struct {
	Record
	// candidate was named by the platform's list but has not answered yet.
	candidate bool
	// greeted says that the candidate was asked at once.
	greeted bool
	// deadline is when a suspected VM is declared dead.
	deadline time.Time
	// checking says that a suspected VM's time is over and that it is probed a
	// last time.
	checking bool
	// died is when a dead VM was declared so.
	died time.Time
	// heard is when the VM last answered or asked.
	heard time.Time
	// configuration and digest are the VM's own last words.
	configuration int64
	digest        []byte
}

// Node is one VM's part of the protocol. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	rnd     *rand.Rand
	self    Record
	members map[string]*member
	// ids are the members' names in order, so that a seed decides a run.
	ids     []string
	marks   map[Mark]bool
	queue   *queue
	changes []Change
	marked  []Mark

	configuration int64
	digest        []byte

	probes    map[uint64]*outstanding
	seq       uint64
	order     []string
	nextProbe time.Time
	nextSync  time.Time
	syncWait  time.Duration
	lastTick  time.Time
}

// outstanding is a probe without an answer.
type outstanding struct {
	to       string
	indirect bool
	waiting  int
}

// New returns the Node of the VM self, which knows nobody yet.
func New(cfg Config, self Record, rnd *rand.Rand) *Node {
	n := &Node{
		cfg:     cfg,
		rnd:     rnd,
		self:    self,
		members: make(map[string]*member),
		marks:   make(map[Mark]bool),
		queue:   newQueue(),
		probes:  make(map[uint64]*outstanding),
	}
	n.queue.put(News{Record: n.selfCopy()})
	return n
}

// Self is this VM's own record.
func (n *Node) Self() Record { return n.self }

// SetConfiguration sets the version that this VM tells of.
func (n *Node) SetConfiguration(version int64) { n.configuration = max(n.configuration, version) }

// SetDigest sets the account of its load that this VM tells; one that is too
// long is not told.
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
	n.queue.put(News{Record: n.selfCopy()})
}

// MarkEndpoint notes that an endpoint leaves. It reports whether that is news.
func (n *Node) MarkEndpoint(m Mark) bool {
	if n.marks[m] {
		return false
	}
	n.marks[m] = true
	n.marked = append(n.marked, m)
	n.queue.put(News{Mark: &m})
	return true
}

// Changes returns what changed since the last call.
func (n *Node) Changes() ([]Change, []Mark) {
	changes, marked := n.changes, n.marked
	n.changes, n.marked = nil, nil
	return changes, marked
}

// Records lists the VMs, this one included, in the order of their names.
// Candidates that never answered are left out.
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

// Marks lists the endpoints that leave.
func (n *Node) Marks() []Mark {
	list := slices.Collect(maps.Keys(n.marks))
	slices.SortFunc(list, func(a, b Mark) int { return cmp.Compare(a.Endpoint+"/"+a.Incarnation, b.Endpoint+"/"+b.Incarnation) })
	return list
}

// View is what another VM said of itself last.
type View struct {
	Record
	// Heard is when it last answered or asked.
	Heard         time.Time
	Configuration int64
	Digest        []byte
}

// Views lists the other VMs that answered at least once.
func (n *Node) Views() []View {
	var list []View
	for _, id := range n.ids {
		m := n.members[id]
		if !m.candidate {
			list = append(list, View{m.Record, m.heard, m.configuration, m.digest})
		}
	}
	return list
}

func (n *Node) selfCopy() *Record {
	r := n.self
	return &r
}

// add makes a VM known, at a random place of the round: VMs that start together
// must not probe in the same order.
func (n *Node) add(id string, m *member) {
	n.members[id] = m
	n.order = slices.Insert(n.order, n.rnd.IntN(len(n.order)+1), id)
	if i, found := slices.BinarySearch(n.ids, id); !found {
		n.ids = slices.Insert(n.ids, i, id)
	}
}

// remove forgets a VM.
func (n *Node) remove(id string) {
	delete(n.members, id)
	if i, found := slices.BinarySearch(n.ids, id); found {
		n.ids = slices.Delete(n.ids, i, i+1)
	}
}

// size is the number of VMs that are not dead, this one included.
func (n *Node) size() int {
	count := 1
	for _, m := range n.members {
		if m.Status != StatusDead && !m.candidate {
			count++
		}
	}
	return count
}

// Hint takes a VM of the platform's list, which lags: it is only asked whether
// it lives.
func (n *Node) Hint(id, address, failureDomain string) {
	if id == n.self.ID || n.members[id] != nil {
		return
	}
	n.add(id, &member{Record: Record{ID: id, Address: address, FailureDomain: failureDomain}, candidate: true})
}

// Greet asks up to count VMs of the platform's list that were never asked, so
// that a VM that starts knows the others soon.
func (n *Node) Greet(count int) []Action {
	var actions []Action
	for _, id := range n.ids {
		m := n.members[id]
		if !m.candidate || m.greeted || len(actions) >= count {
			continue
		}
		m.greeted = true
		actions = append(actions, n.ask(m.Record))
	}
	return actions
}

// message is what this VM tells the VM to. News that concerns the receiver goes
// first, so that it can refute.
func (n *Node) message(to string) Message {
	msg := Message{From: n.self, Configuration: n.configuration, Digest: n.digest}
	limit := n.cfg.MaxNewsBytes
	if m := n.members[to]; m != nil && !m.candidate && (m.Status != StatusAlive || m.Leaving) {
		r := m.Record
		msg.News = append(msg.News, News{Record: &r})
		limit -= msg.News[0].size()
	}
	msg.News = append(msg.News, n.queue.take(limit, n.cfg.retransmits(n.size()))...)
	return msg
}

// Receive takes a probe and returns the answer.
func (n *Node) Receive(now time.Time, msg Message) Message {
	n.take(now, msg)
	return n.message(msg.From.ID)
}

// take takes what a VM says of itself, and its news.
func (n *Node) take(now time.Time, msg Message) {
	if msg.From.ID == "" || msg.From.ID == n.self.ID {
		return
	}
	from := msg.From
	from.Status = StatusAlive
	n.learn(now, from)
	if m := n.members[from.ID]; m != nil && m.Incarnation == from.Incarnation {
		m.heard = now
		m.configuration = max(m.configuration, msg.Configuration)
		if len(msg.Digest) <= n.cfg.MaxDigestBytes {
			m.digest = msg.Digest
		}
	}
	for _, news := range msg.News {
		n.hear(now, news)
	}
}

func (n *Node) hear(now time.Time, news News) {
	if !news.valid() {
		return
	}
	if news.Mark != nil {
		n.MarkEndpoint(*news.Mark)
		return
	}
	n.learn(now, *news.Record)
}

// learn joins a record with what is known, and tells on what is new.
func (n *Node) learn(now time.Time, r Record) {
	if n.join(now, r) {
		known := n.members[r.ID].Record
		n.queue.put(News{Record: &known})
	}
}

// join joins a record with what is known. It reports whether it was news.
func (n *Node) join(now time.Time, r Record) bool {
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
	was := *m
	joined := r
	if !was.candidate {
		joined = Join(was.Record, r)
	}
	if !was.candidate && joined == was.Record {
		return false
	}
	if joined.Incarnation != was.Incarnation {
		m.configuration, m.digest = 0, nil
	}
	m.Record, m.candidate = joined, false
	n.setTimes(now, m, was)
	n.changes = append(n.changes, Change{Was: was.Record, Is: joined, New: was.candidate})
	return true
}

// setTimes starts or ends the times that hang on a status.
func (n *Node) setTimes(now time.Time, m *member, was member) {
	if m.Status != was.Status {
		m.checking = false
	}
	if m.Status == StatusSuspect && was.Status != StatusSuspect {
		m.deadline = now.Add(n.cfg.suspicion(n.size()))
	}
	if m.Status == StatusDead && was.Status != StatusDead {
		m.died = now
	}
}

// refute answers news that this VM is suspected or dead.
func (n *Node) refute(r Record) {
	if r.Incarnation != n.self.Incarnation || r.Status == StatusAlive || r.Beat < n.self.Beat {
		return
	}
	n.self.Beat = r.Beat + 1
	n.queue.put(News{Record: n.selfCopy()})
}
