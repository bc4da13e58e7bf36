package configuration

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const checks = "300"

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", checks)
	os.Exit(m.Run())
}

// follower is the implementation under test: a Tracker or a naiveFollower.
type follower interface {
	tick(now time.Time) []Action
	head(now time.Time, version int64) []Action
	failed(now time.Time)
	peer(now time.Time, version int64) []Action
	loaded(now time.Time, version int64) []Action
	version() int64
	serves(now time.Time) bool
}

type trackerFollower struct{ *Tracker }

func (f trackerFollower) tick(now time.Time) []Action          { return f.Tick(now, 3) }
func (f trackerFollower) head(now time.Time, v int64) []Action { return f.HeadRead(now, v) }
func (f trackerFollower) failed(now time.Time)                 { f.HeadFailed(now) }
func (f trackerFollower) peer(now time.Time, v int64) []Action { return f.PeerVersion(now, "peer", v) }
func (f trackerFollower) version() int64                       { return f.InForce() }
func (f trackerFollower) serves(now time.Time) bool            { return f.Standing(now) == StandingCurrent }
func (f trackerFollower) loaded(now time.Time, v int64) []Action {
	_, actions := f.Loaded(now, v)
	return actions
}

// naiveFollower polls the head at every tick and accepts any version that is
// reported, also an older one.
type naiveFollower struct{ v int64 }

func (n *naiveFollower) tick(time.Time) []Action              { return []Action{ReadHead{}} }
func (n *naiveFollower) head(_ time.Time, v int64) []Action   { return []Action{Fetch{SourceStore, v}} }
func (n *naiveFollower) failed(time.Time)                     {}
func (n *naiveFollower) peer(_ time.Time, v int64) []Action   { return []Action{Fetch{"peer", v}} }
func (n *naiveFollower) loaded(_ time.Time, v int64) []Action { n.v = v; return nil }
func (n *naiveFollower) version() int64                       { return n.v }
func (n *naiveFollower) serves(time.Time) bool                { return n.v > 0 }

// reply is a message in transit; it may arrive late and out of order.
type reply struct {
	head, fetch, peer bool
	version           int64
	sent              time.Time
}

// fault is a violation that the oracle has detected.
type fault string

// scenario drives one VM with late, lost and reordered replies, pauses and
// outages. It also keeps the state of the oracle: the acceptance time of every
// version of the head, the last version in force and the time of the last
// contact.
type scenario struct {
	vm          follower
	now         time.Time
	accepted    []time.Time
	pending     []reply
	lastVersion int64
	storeDown   bool
	peersDown   bool
	lastContact time.Time
	fault       fault
}

func newScenario(vm follower) *scenario {
	start := time.Unix(1_000_000, 0)
	return &scenario{vm: vm, now: start, accepted: []time.Time{start}, lastContact: start}
}

func (s *scenario) newest() int64 { return int64(len(s.accepted)) }

func (s *scenario) do(actions []Action) {
	for _, a := range actions {
		switch a.(type) {
		case ReadHead:
			if s.storeDown {
				s.vm.failed(s.now)
				continue
			}
			s.pending = append(s.pending, reply{head: true, version: s.newest(), sent: s.now})
		case Fetch:
			s.pending = append(s.pending, reply{fetch: true, version: s.newest(), sent: s.now})
		}
	}
}

func (s *scenario) deliver(i int) {
	a := s.pending[i]
	s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
	s.lastContact = s.now
	switch {
	case a.head:
		s.do(s.vm.head(s.now, a.version))
	case a.fetch:
		s.do(s.vm.loaded(s.now, a.version))
	case a.peer:
		s.do(s.vm.peer(s.now, a.version))
	}
}

func (s *scenario) check() {
	v := s.vm.version()
	if v < s.lastVersion {
		s.fault = "the version in force decreased"
	}
	s.lastVersion = v
	if s.vm.serves(s.now) && s.now.Sub(s.lastContact) > DefaultTrackerConfig().ContactLimit {
		s.fault = "a VM without contact accepts work"
	}
}

func (s *scenario) run(t *rapid.T) {
	steps := rapid.IntRange(20, 80).Draw(t, "steps")
	for range steps {
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0:
			s.accepted = append(s.accepted, s.now)
		case 1, 2:
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			s.do(s.vm.tick(s.now))
		case 3, 4:
			if len(s.pending) > 0 {
				s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(t, "answer"))
			}
		case 5:
			if !s.peersDown {
				lag := rapid.Int64Range(0, s.newest()-1).Draw(t, "lag")
				s.pending = append(s.pending, reply{peer: true, version: s.newest() - lag, sent: s.now})
			}
		case 6:
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Second)
		case 7:
			s.storeDown = rapid.Bool().Draw(t, "down")
			s.peersDown = rapid.Bool().Draw(t, "alone")
		}
		s.check()
	}
}

// settle ends all faults, delivers all replies for 20 s and checks that the
// newest version is in force.
func (s *scenario) settle() {
	s.storeDown = false
	for range 100 {
		s.now = s.now.Add(200 * time.Millisecond)
		s.do(s.vm.tick(s.now))
		for len(s.pending) > 0 {
			s.deliver(0)
			s.check()
		}
	}
	if s.vm.version() != s.newest() || !s.vm.serves(s.now) {
		s.fault = "the newest version is not in force"
	}
}

func TestTrackerNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(trackerFollower{NewTracker(DefaultTrackerConfig(), rand.New(rand.NewPCG(1, 2)))})
		s.run(t)
		require.Empty(t, s.fault)
		s.settle()
		require.Empty(t, s.fault)
	})
}

// TestNaiveFollowerIsCaught checks the oracle: it must detect the faults of a VM
// that accepts every reported version.
func TestNaiveFollowerIsCaught(t *testing.T) {
	faults := make(map[fault]bool)
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(&naiveFollower{})
		s.run(t)
		faults[s.fault] = true
	})
	require.Contains(t, faults, fault("the version in force decreased"))
	require.Contains(t, faults, fault("a VM without contact accepts work"))
}

func TestTrackerReadsAreBounded(t *testing.T) {
	const vms = 450
	const seconds = 600
	now := time.Unix(1_000_000, 0)
	trackers := make([]*Tracker, 0, vms)
	for i := range vms {
		tr := NewTracker(DefaultTrackerConfig(), rand.New(rand.NewPCG(uint64(i), 1)))
		tr.HeadRead(now, 1)
		tr.Loaded(now, 1)
		trackers = append(trackers, tr)
	}
	reads := 0
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, tr := range trackers {
			tr.PeerVersion(now, "peer", 1)
			for range tr.Tick(now, vms-1) {
				reads++
				tr.HeadRead(now, 1)
			}
		}
	}
	require.LessOrEqual(t, float64(reads-vms)/seconds, 2*DefaultTrackerConfig().ReadsPerSecond)
}

func TestTrackerStopsWorkWhenBehind(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultTrackerConfig()
	tr := NewTracker(cfg, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, StandingUnconfirmed, tr.Standing(now))
	tr.HeadRead(now, 3)
	tr.Loaded(now, 3)
	require.Equal(t, StandingCurrent, tr.Standing(now))
	tr.PeerVersion(now, "peer", 4)
	now = now.Add(cfg.BehindLimit + time.Second)
	tr.PeerVersion(now.Add(-time.Second), "peer", 4)
	require.Equal(t, StandingBehind, tr.Standing(now))
	tr.Loaded(now, 4)
	require.Equal(t, StandingCurrent, tr.Standing(now))
}
