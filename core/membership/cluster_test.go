package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	oneWayDelay = time.Millisecond
	tickStep    = 100 * time.Millisecond
	// envelopeBytes is the overhead of JSON-RPC and the frame per message.
	envelopeBytes = 75 + 20
)

// event is a function to run at a point in virtual time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// vm is a simulated VM: its Node and its injected faults.
type vm struct {
	node   *Node
	down   bool
	paused bool
}

// cluster simulates the network between Nodes in virtual time. It drops a fraction
// of the messages, and those for which partitioned returns true.
type cluster struct {
	now         time.Time
	rnd         *rand.Rand
	vms         map[string]*vm
	ids         []string
	queue       events
	order       int
	loss        float64
	partitioned func(a, b string) bool
	bytes       int
	messages    int
}

func newCluster(seed uint64, size int, loss float64) *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 7)), vms: make(map[string]*vm), loss: loss}
	for i := range size {
		c.start(fmt.Sprintf("entry-%03d", i), 1)
	}
	return c
}

// start starts a VM whose platform list holds all VMs started before it.
func (c *cluster) start(id string, incarnation int64) {
	self := Record{ID: id, Address: id + ":7000", FailureDomain: "upanga", Region: "dar-coast", Incarnation: incarnation}
	n := New(DefaultConfig(), self, rand.New(rand.NewPCG(c.rnd.Uint64(), 1)))
	for _, other := range c.ids {
		n.AddCandidate(other, other+":7000", "upanga")
	}
	if c.vms[id] == nil {
		c.ids = append(c.ids, id)
	}
	v := &vm{node: n}
	c.vms[id] = v
	c.after(time.Duration(c.rnd.Int64N(int64(tickStep))), func() { c.tick(v) })
}

// after schedules do to run once d has passed.
func (c *cluster) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{c.now.Add(d), c.order, do})
}

// run advances virtual time by d and runs the events that fall due.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// until advances time until the condition holds or the limit is reached. It returns
// the time taken and whether the condition holds.
func (c *cluster) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := c.now
	for c.now.Sub(start) < limit {
		if ok() {
			return c.now.Sub(start), true
		}
		c.run(tickStep / 2)
	}
	return limit, ok()
}

func (c *cluster) tick(v *vm) {
	if v.down {
		return
	}
	if !v.paused {
		c.execute(v, v.node.Tick(c.now))
	}
	c.after(tickStep, func() { c.tick(v) })
}

func (c *cluster) execute(v *vm, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Probe:
			c.probe(v, a)
		case IndirectProbe:
			c.relay(v, a)
		case Sync:
			c.sync(v, a)
		}
	}
}

// send counts a message and reports whether it is delivered.
func (c *cluster) send(from, to string, msg any) bool {
	data, _ := json.Marshal(msg)
	c.bytes += len(data) + envelopeBytes
	c.messages++
	v := c.vms[to]
	if v == nil || v.down || v.paused || c.partitioned != nil && c.partitioned(from, to) {
		return false
	}
	return c.rnd.Float64() >= c.loss
}

// fail schedules the failure of a probe after its timeout.
func (c *cluster) fail(v *vm, seq uint64, timeout time.Duration) {
	c.after(timeout, func() {
		if !v.paused {
			c.execute(v, v.node.Failed(c.now, seq))
		}
	})
}

func (c *cluster) probe(v *vm, a Probe) {
	from, to := v.node.self.ID, a.To.ID
	if !c.send(from, to, a.Message) {
		c.fail(v, a.Seq, a.Timeout)
		return
	}
	c.after(oneWayDelay, func() {
		reply := c.vms[to].node.Receive(c.now, a.Message)
		if !c.send(to, from, reply) {
			c.fail(v, a.Seq, a.Timeout-oneWayDelay)
			return
		}
		c.after(oneWayDelay, func() { v.node.Acked(c.now, a.Seq, reply) })
	})
}

func (c *cluster) relay(v *vm, a IndirectProbe) {
	from, via, to := v.node.self.ID, a.Via.ID, a.To.ID
	ok := c.send(from, via, a.To) && c.send(via, to, a.To) && c.send(to, via, a.To) && c.send(via, from, a.To)
	if !ok {
		c.fail(v, a.Seq, a.Timeout)
		return
	}
	c.after(4*oneWayDelay, func() {
		if other := c.vms[to]; !other.down && !other.paused {
			v.node.AckedIndirectly(c.now, a.Seq, other.node.Self())
		}
	})
}

func (c *cluster) sync(v *vm, a Sync) {
	from, to := v.node.self.ID, a.Peer.ID
	if !c.send(from, to, a.Peer) {
		v.node.SyncFailed()
		return
	}
	other := c.vms[to].node
	records, marks, notes := other.Records(), other.Marks(), other.Notes()
	if !c.send(to, from, records) {
		v.node.SyncFailed()
		return
	}
	c.after(2*oneWayDelay, func() { v.node.Synced(c.now, records, marks, notes) })
}

// all reports whether the condition holds for every VM that is neither down nor
// paused.
func (c *cluster) all(ok func(n *Node) bool) bool {
	for _, id := range c.ids {
		v := c.vms[id]
		if !v.down && !v.paused && !ok(v.node) {
			return false
		}
	}
	return true
}

// converged reports whether every running VM counts as many live VMs as are not
// down.
func (c *cluster) converged() bool {
	running := 0
	for _, v := range c.vms {
		if !v.down {
			running++
		}
	}
	return c.all(func(n *Node) bool { return n.liveCount() == running })
}

// statusOf returns the VM's status according to the Node, StatusDead for an unknown
// VM.
func statusOf(n *Node, id string) Status {
	m := n.members[id]
	if m == nil {
		return StatusDead
	}
	return m.Status
}
