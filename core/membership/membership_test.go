package membership

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

func drawRecord(t *rapid.T, label string) Record {
	return Record{
		ID:          "entry-1",
		Address:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, label+" address"),
		Incarnation: rapid.Int64Range(1, 2).Draw(t, label+" incarnation"),
		Refutations: rapid.Uint32Range(0, 2).Draw(t, label+" refutations"),
		Status:      Status(rapid.IntRange(0, 2).Draw(t, label+" status")),
		Leaving:     rapid.Bool().Draw(t, label+" leaving"),
	}
}

func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		require.Equal(t, Merge(a, b), Merge(b, a))
		require.Equal(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
		require.Equal(t, Merge(a, b), Merge(Merge(a, b), b))
		if a.Incarnation == b.Incarnation {
			require.Equal(t, a.Leaving || b.Leaving, Merge(a, b).Leaving)
		}
	})
}

func TestMembersDiscoverEachOther(t *testing.T) {
	for _, size := range []int{1, 2, 4, 64} {
		c := newCluster(1, size, 0)
		took, ok := c.until(time.Minute, c.converged)
		require.True(t, ok, "%d members", size)
		t.Logf("%d members: converged after %v", size, took)
	}
}

func TestDeathIsDetected(t *testing.T) {
	for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
		for _, size := range []int{4, 64} {
			c := newCluster(2, size, loss)
			_, ok := c.until(2*time.Minute, c.converged)
			require.True(t, ok)
			dead := c.ids[1]
			c.vms[dead].down = true
			took, ok := c.until(time.Minute, func() bool {
				return c.all(func(n *Node) bool { return statusOf(n, dead) == StatusDead })
			})
			require.True(t, ok, "%d members, loss %v", size, loss)
			t.Logf("%d members, loss %v: failure known to all after %v", size, loss, took)
		}
	}
}

// TestPausedMemberRecovers pauses a VM until the others declare it dead. Once it
// resumes, it must refute this, and must not declare others dead because their
// replies were missing during its own pause.
func TestPausedMemberRecovers(t *testing.T) {
	c := newCluster(3, 8, 0)
	_, ok := c.until(time.Minute, c.converged)
	require.True(t, ok)
	paused := c.vms[c.ids[2]]
	paused.paused = true
	_, ok = c.until(time.Minute, func() bool {
		return c.all(func(n *Node) bool { return statusOf(n, c.ids[2]) == StatusDead })
	})
	require.True(t, ok)
	c.run(30 * time.Second)
	paused.paused = false
	c.run(tickStep)
	for _, id := range c.ids {
		if id != c.ids[2] {
			require.NotEqual(t, StatusDead, statusOf(paused.node, id))
		}
	}
	_, ok = c.until(time.Minute, c.converged)
	require.True(t, ok)
}

func TestRecoveryFromPartition(t *testing.T) {
	c := newCluster(4, 8, 0)
	_, ok := c.until(time.Minute, c.converged)
	require.True(t, ok)
	c.partitioned = func(a, b string) bool { return (a < c.ids[3]) != (b < c.ids[3]) }
	c.run(5 * time.Minute)
	require.True(t, c.all(func(n *Node) bool { return n.liveCount() < 8 }))
	c.partitioned = nil
	took, ok := c.until(5*time.Minute, c.converged)
	require.True(t, ok)
	t.Logf("converged after %v", took)
}

func TestRestartIsANewIncarnation(t *testing.T) {
	c := newCluster(5, 4, 0)
	_, ok := c.until(time.Minute, c.converged)
	require.True(t, ok)
	id := c.ids[3]
	c.vms[id].node.Leave()
	_, ok = c.until(time.Minute, func() bool { return c.all(func(n *Node) bool { return leaving(n, id) }) })
	require.True(t, ok)
	c.vms[id].down = true
	c.run(time.Second)
	c.start(id, 2)
	_, ok = c.until(time.Minute, func() bool {
		return c.converged() && c.all(func(n *Node) bool { return !leaving(n, id) })
	})
	require.True(t, ok)
}

func leaving(n *Node, id string) bool {
	for _, r := range n.Records() {
		if r.ID == id {
			return r.Leaving
		}
	}
	return false
}

// TestMarkReachesAllAndPersists verifies that a mark reaches all VMs despite message
// loss, including a VM that was paused, and that no later update removes it.
func TestMarkReachesAllAndPersists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 12).Draw(t, "size")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), size, rapid.Float64Range(0, 0.2).Draw(t, "loss"))
		_, ok := c.until(2*time.Minute, c.converged)
		require.True(t, ok)
		mark := Mark{"scribe-1", "x"}
		if rapid.Bool().Draw(t, "pause") {
			c.vms[c.ids[1]].paused = true
		}
		c.vms[c.ids[0]].node.MarkEndpoint(mark)
		for range rapid.IntRange(1, 10).Draw(t, "seconds") {
			c.run(time.Second)
			require.True(t, c.vms[c.ids[0]].node.marks[mark])
		}
		c.vms[c.ids[1]].paused = false
		_, ok = c.until(10*time.Minute, func() bool {
			return c.all(func(n *Node) bool { return n.marks[mark] })
		})
		require.True(t, ok)
	})
}

// naiveTracker takes the leaving endpoints from the platform's list alone.
type naiveTracker struct{ leaving map[string]bool }

func (n *naiveTracker) applyList(leaving map[string]bool) { n.leaving = leaving }

// TestNaiveTrackerLosesMark demonstrates the two faults of relying on the platform's
// list alone: a stale response removes a mark, and until the list shows the mark the
// endpoint still gets work. A Node keeps the mark.
func TestNaiveTrackerLosesMark(t *testing.T) {
	naive := &naiveTracker{}
	n := New(DefaultConfig(), Record{ID: "entry-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	mark := Mark{"scribe-1", "x"}
	n.MarkEndpoint(mark)
	require.True(t, n.marks[mark])
	require.False(t, naive.leaving["scribe-1"], "the list is stale")
	naive.applyList(map[string]bool{"scribe-1": true})
	naive.applyList(map[string]bool{})
	require.False(t, naive.leaving["scribe-1"], "a response out of order removes the mark")
	n.mergeUpdate(time.Unix(1, 0), Update{Mark: &Mark{"scribe-1", "older"}})
	require.True(t, n.marks[mark])
}

func TestUpdatesAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	n := New(cfg, Record{ID: "entry-1", Address: "10.0.0.1:7000", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1, 0)
	const others = 200
	for i := range others {
		n.mergeAndQueue(now, Record{ID: fmt.Sprintf("entry-%d", i+2), Address: "10.0.0.2:7000", Incarnation: 1})
	}
	sent := 0
	for range others * 20 {
		msg := n.message("entry-2")
		size := 0
		for _, u := range msg.Updates {
			data, err := json.Marshal(u)
			require.NoError(t, err)
			size += len(data)
			sent++
		}
		require.LessOrEqual(t, size, cfg.MaxUpdateBytes)
	}
	require.Equal(t, (others+1)*cfg.retransmitLimit(others+1), sent, "each update is sent a bounded number of times")
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"f":{"id":"entry-2","i":5},"c":3,"n":[{"r":{"id":"entry-1","i":1,"s":2}},{"m":{"e":"x"}}]}`))
	f.Add([]byte(`{"n":[{},{"r":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg Message
		if json.Unmarshal(data, &msg) != nil {
			return
		}
		n := New(DefaultConfig(), Record{ID: "entry-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
		n.Leave()
		n.Receive(time.Unix(1, 0), msg)
		n.Tick(time.Unix(2, 0))
		require.True(t, n.Self().Leaving)
		require.Equal(t, StatusAlive, n.Self().Status)
	})
}

// BenchmarkCost reports the steady-state cost of the protocol per VM: bytes and
// messages per second, sent and received together, and CPU time without the
// network.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{4, 16, 64, 256, 450} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			c := newCluster(6, size, 0)
			c.until(5*time.Minute, c.converged)
			// Wait until the updates of the simultaneous start have been disseminated.
			c.run(5 * time.Minute)
			c.bytes, c.messages = 0, 0
			const window = 30 * time.Second
			b.ResetTimer()
			for b.Loop() {
				c.run(window)
			}
			seconds := float64(b.N) * window.Seconds() * float64(size)
			// Each message is sent by one VM and received by another.
			b.ReportMetric(2*float64(c.bytes)/seconds, "bytes/s/VM")
			b.ReportMetric(2*float64(c.messages)/seconds, "messages/s/VM")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "us/s/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkLoss reports the false suspicions and false deaths per VM and hour under
// message loss, and the time until a real failure is known to all VMs.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		for _, size := range []int{4, 64} {
			b.Run(fmt.Sprintf("loss=%v/members=%d", loss, size), func(b *testing.B) {
				var suspicions, deaths int
				var detection time.Duration
				for b.Loop() {
					c := newCluster(uint64(b.N), size, loss)
					c.until(5*time.Minute, c.converged)
					s, d := c.falsePositives(10 * time.Minute)
					suspicions, deaths = suspicions+s, deaths+d
					c.vms[c.ids[0]].down = true
					took, _ := c.until(5*time.Minute, func() bool {
						return c.all(func(n *Node) bool { return statusOf(n, c.ids[0]) == StatusDead })
					})
					detection += took
				}
				hours := float64(b.N) * float64(size) / 6
				b.ReportMetric(float64(suspicions)/hours, "suspicions/VM/h")
				b.ReportMetric(float64(deaths)/hours, "deaths/VM/h")
				b.ReportMetric(detection.Seconds()/float64(b.N), "s-to-detect")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// falsePositives runs the cluster for d and counts how often a running VM is
// suspected and how often it is declared dead. Each suspicion counts once, however
// many VMs receive it.
func (c *cluster) falsePositives(d time.Duration) (suspicions, deaths int) {
	type report struct {
		id          string
		refutations uint32
		dead        bool
	}
	seen := make(map[report]bool)
	c.until(d, func() bool {
		for _, id := range c.ids {
			changes, _ := c.vms[id].node.Changes()
			for _, ch := range changes {
				if ch.Current.Status != StatusAlive {
					seen[report{ch.Current.ID, ch.Current.Refutations, ch.Current.Status == StatusDead}] = true
				}
			}
		}
		return false
	})
	for r := range seen {
		if r.dead {
			deaths++
		} else {
			suspicions++
		}
	}
	return suspicions, deaths
}

// A VM that refutes that it is dead reports that as a change of its own record.
func TestRefutationIsReported(t *testing.T) {
	n := New(DefaultConfig(), Record{ID: "a", Incarnation: 7}, rand.New(rand.NewPCG(1, 1)))
	dead := Record{ID: "a", Incarnation: 7, Status: StatusDead, Refutations: 2}
	n.Receive(time.Unix(0, 0), Message{From: Record{ID: "b", Incarnation: 1}, Updates: []Update{{Record: &dead}}})
	changes, _ := n.Changes()
	require.Len(t, changes, 2)
	require.Equal(t, "a", changes[1].Current.ID)
	require.Equal(t, uint32(3), changes[1].Current.Refutations)
	require.Equal(t, StatusAlive, changes[1].Current.Status)
}
