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

func record(t *rapid.T, label string) Record {
	return Record{
		ID:          "entry-1",
		Address:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, label+" address"),
		Incarnation: rapid.Int64Range(1, 2).Draw(t, label+" incarnation"),
		Beat:        rapid.Uint32Range(0, 2).Draw(t, label+" beat"),
		Status:      Status(rapid.IntRange(0, 2).Draw(t, label+" status")),
		Leaving:     rapid.Bool().Draw(t, label+" leaving"),
	}
}

func TestJoinIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := record(t, "a"), record(t, "b"), record(t, "c")
		require.Equal(t, Join(a, b), Join(b, a))
		require.Equal(t, Join(Join(a, b), c), Join(a, Join(b, c)))
		require.Equal(t, Join(a, b), Join(Join(a, b), b))
		if a.Incarnation == b.Incarnation {
			require.Equal(t, a.Leaving || b.Leaving, Join(a, b).Leaving)
		}
	})
}

func TestMembersFindEachOther(t *testing.T) {
	for _, size := range []int{1, 2, 4, 64} {
		c := newCluster(1, size, 0)
		took, ok := c.until(time.Minute, c.settled)
		require.True(t, ok, "%d members", size)
		t.Logf("%d members: all known after %v", size, took)
	}
}

func TestDeathIsDetected(t *testing.T) {
	for _, loss := range []float64{0, 0.01, 0.05, 0.2} {
		for _, size := range []int{4, 64} {
			c := newCluster(2, size, loss)
			_, ok := c.until(2*time.Minute, c.settled)
			require.True(t, ok)
			dead := c.ids[1]
			c.vms[dead].down = true
			took, ok := c.until(time.Minute, func() bool {
				return c.all(func(n *Node) bool { return statusOf(n, dead) == StatusDead })
			})
			require.True(t, ok, "%d members, loss %v", size, loss)
			t.Logf("%d members, loss %v: death known to all after %v", size, loss, took)
		}
	}
}

// TestPausedMemberComesBack pauses a VM until it is taken for dead. Awake, it
// refutes, and blames nobody for its own silence.
func TestPausedMemberComesBack(t *testing.T) {
	c := newCluster(3, 8, 0)
	_, ok := c.until(time.Minute, c.settled)
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
	_, ok = c.until(time.Minute, c.settled)
	require.True(t, ok)
}

func TestHealedNetworkJoinsAgain(t *testing.T) {
	c := newCluster(4, 8, 0)
	_, ok := c.until(time.Minute, c.settled)
	require.True(t, ok)
	c.cut = func(a, b string) bool { return (a < c.ids[3]) != (b < c.ids[3]) }
	c.run(5 * time.Minute)
	require.True(t, c.all(func(n *Node) bool { return n.size() < 8 }))
	c.cut = nil
	took, ok := c.until(5*time.Minute, c.settled)
	require.True(t, ok)
	t.Logf("joined again after %v", took)
}

func TestRestartIsANewIncarnation(t *testing.T) {
	c := newCluster(5, 4, 0)
	_, ok := c.until(time.Minute, c.settled)
	require.True(t, ok)
	id := c.ids[3]
	c.vms[id].node.Leave()
	_, ok = c.until(time.Minute, func() bool { return c.all(func(n *Node) bool { return leaving(n, id) }) })
	require.True(t, ok)
	c.vms[id].down = true
	c.run(time.Second)
	c.start(id, 2)
	_, ok = c.until(time.Minute, func() bool {
		return c.settled() && c.all(func(n *Node) bool { return !leaving(n, id) })
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

// TestMarkSpreadsAndStays: a mark reaches all under loss, also those that were
// paused, and no later news takes it back.
func TestMarkSpreadsAndStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 12).Draw(t, "size")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), size, rapid.Float64Range(0, 0.2).Draw(t, "loss"))
		_, ok := c.until(2*time.Minute, c.settled)
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

// naiveLeaving is a VM that trusts the platform's list.
type naiveLeaving struct{ leaving map[string]bool }

func (n *naiveLeaving) list(leaving map[string]bool) { n.leaving = leaving }

// TestTrustingTheListIsCaught shows the two faults of a VM that takes the list
// at its word: an old answer of the list takes a mark back, and until the list
// shows the mark the endpoint gets work.
func TestTrustingTheListIsCaught(t *testing.T) {
	naive := &naiveLeaving{}
	n := New(DefaultConfig(), Record{ID: "entry-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	mark := Mark{"scribe-1", "x"}
	n.MarkEndpoint(mark)
	require.True(t, n.marks[mark])
	require.False(t, naive.leaving["scribe-1"], "the list lags")
	naive.list(map[string]bool{"scribe-1": true})
	naive.list(map[string]bool{})
	require.False(t, naive.leaving["scribe-1"], "an answer out of order takes the mark back")
	n.hear(time.Unix(1, 0), News{Mark: &Mark{"scribe-1", "older"}})
	require.True(t, n.marks[mark])
}

func TestNewsIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	n := New(cfg, Record{ID: "entry-1", Address: "10.0.0.1:7000", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1, 0)
	const others = 200
	for i := range others {
		n.learn(now, Record{ID: fmt.Sprintf("entry-%d", i+2), Address: "10.0.0.2:7000", Incarnation: 1})
	}
	told := 0
	for range others * 20 {
		msg := n.message("entry-2")
		size := 0
		for _, news := range msg.News {
			data, err := json.Marshal(news)
			require.NoError(t, err)
			size += len(data)
			told++
		}
		require.LessOrEqual(t, size, cfg.MaxNewsBytes)
	}
	require.Equal(t, (others+1)*cfg.retransmits(others+1), told, "each is told a bounded number of times")
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

// BenchmarkCost reports what the protocol costs a VM, at rest: bytes and
// messages a second, both directions together, and processor time without the
// network.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{4, 16, 64, 256, 450} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			c := newCluster(6, size, 0)
			c.until(5*time.Minute, c.settled)
			// The news of the common start has been told.
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

// BenchmarkLoss reports false suspicions and deaths under loss, per VM and
// hour, and how long a real death takes to be known to all.
func BenchmarkLoss(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		for _, size := range []int{4, 64} {
			b.Run(fmt.Sprintf("loss=%v/members=%d", loss, size), func(b *testing.B) {
				var suspicions, deaths int
				var detection time.Duration
				for b.Loop() {
					c := newCluster(uint64(b.N), size, loss)
					c.until(5*time.Minute, c.settled)
					s, d := c.falseAlarms(10 * time.Minute)
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

// falseAlarms counts how often a living VM is suspected, and declared dead, by
// any other; each suspicion counts once, however many hear of it.
func (c *cluster) falseAlarms(d time.Duration) (suspicions, deaths int) {
	type alarm struct {
		id   string
		beat uint32
		dead bool
	}
	seen := make(map[alarm]bool)
	c.until(d, func() bool {
		for _, id := range c.ids {
			changes, _ := c.vms[id].node.Changes()
			for _, ch := range changes {
				if ch.Is.Status != StatusAlive {
					seen[alarm{ch.Is.ID, ch.Is.Beat, ch.Is.Status == StatusDead}] = true
				}
			}
		}
		return false
	})
	for a := range seen {
		if a.dead {
			deaths++
		} else {
			suspicions++
		}
	}
	return suspicions, deaths
}
