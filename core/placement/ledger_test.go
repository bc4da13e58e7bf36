package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

var epoch = time.UnixMilli(1_000_000_000_000)

// replayLedger is a reference implementation: it keeps every send and recomputes
// the queue from the last report each time.
type replayLedger struct {
	at     time.Time
	queued [2]int64
	sends  []sendRecord
}

func (l *replayLedger) queueAt(now time.Time, rate float64) [2]float64 {
	queue := [2]float64{float64(l.queued[0]), float64(l.queued[1])}
	last := l.at
	drain := func(to time.Time) {
		budget := to.Sub(last).Seconds() * rate
		for i := range queue {
			used := min(budget, queue[i])
			queue[i] -= used
			budget -= used
		}
		last = to
	}
	for _, s := range l.sends {
		if s.at.After(l.at) {
			drain(s.at)
			queue[s.priority] += float64(s.work)
		}
	}
	drain(now)
	return queue
}

// TestLedgerMatchesFullReplay compares the incrementally advanced ledger with a
// full replay, with reports that arrive late and out of order.
func TestLedgerMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 10_000
		l := ledger{at: epoch.UnixNano(), reported: epoch}
		replay := replayLedger{at: epoch}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "elapsed_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "send") {
				s := sendRecord{
					at:       now,
					work:     rapid.Int64Range(1, 50_000).Draw(t, "work"),
					priority: wire.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
				}
				l.send(s, rate)
				replay.sends = append(replay.sends, s)
			} else {
				at := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "lag")) * time.Millisecond)
				queued := [2]int64{rapid.Int64Range(0, 50_000).Draw(t, "high"), rapid.Int64Range(0, 50_000).Draw(t, "low")}
				l.report(now, at, queued, 0, rate)
				if !at.Before(replay.at) {
					replay.at, replay.queued = at, queued
				}
			}
			l.advance(now, rate)
			want := replay.queueAt(now, rate)
			for i := range want {
				if math.Abs(want[i]-l.queued[i]) > 1e-3 {
					t.Fatalf("queue %d: estimate %v, replay %v", i, l.queued[i], want[i])
				}
			}
		}
	})
}

// TestLedgerCountsPrefillSentAfterReport guards against treating a busy endpoint
// as idle: the load report is two seconds old and shows an idle endpoint, but a
// prompt has been sent since.
func TestLedgerCountsPrefillSentAfterReport(t *testing.T) {
	e := NewEndpoint(DefaultConfig(), "e", 400_000, 10_000)
	p := Prompt{Tokens: 100_000, MaxTokens: 10}
	now := epoch.Add(time.Second)
	e.Sent(now, "r", &p, wire.PriorityHigh)
	report := wire.LoadReport{AtMs: epoch.UnixMilli(), TotalTokens: 400_000, FreeTokens: 400_000, PrefillRate: 10_000}
	later := epoch.Add(2 * time.Second)
	e.Report(later, report)
	v := e.View(later, &p)
	require.Zero(t, report.QueuedTokens[wire.PriorityHigh])
	require.InDelta(t, 90_000, v.Queued[wire.PriorityHigh], 5000)
	require.Equal(t, p.Need(), v.Held)
}

// TestStaleReportDoesNotCountEndedAttempt guards against overstated memory use: a
// late report still includes an attempt that has ended since.
func TestStaleReportDoesNotCountEndedAttempt(t *testing.T) {
	e := NewEndpoint(DefaultConfig(), "e", 400_000, 10_000)
	p := Prompt{Tokens: 100_000, MaxTokens: 10}
	e.Sent(epoch, "r", &p, wire.PriorityHigh)
	e.FirstToken(epoch.Add(10*time.Second), "r")
	require.Equal(t, p.Need(), e.Ended(epoch.Add(11*time.Second), "r"))
	e.Report(epoch.Add(12*time.Second), wire.LoadReport{
		AtMs: epoch.Add(9 * time.Second).UnixMilli(), TotalTokens: 400_000, FreeTokens: 400_000 - p.Need(), PrefillRate: 10_000,
	})
	v := e.View(epoch.Add(12*time.Second), &p)
	require.Zero(t, v.Held)
	require.Zero(t, e.Ended(epoch.Add(12*time.Second), "r"))
}

// TestFirstTokenRemovesEarlierPrefill guards against an overstated backlog when
// the assumed rate is far too low: the first token corrects it before the next
// report.
func TestFirstTokenRemovesEarlierPrefill(t *testing.T) {
	e := NewEndpoint(DefaultConfig(), "e", 400_000, 1000)
	p := Prompt{Tokens: 50_000, MaxTokens: 10}
	e.Report(epoch, wire.LoadReport{AtMs: epoch.UnixMilli(), TotalTokens: 400_000, FreeTokens: 400_000})
	e.Sent(epoch.Add(time.Second), "r", &p, wire.PriorityHigh)
	e.FirstToken(epoch.Add(2*time.Second), "r")
	require.Zero(t, e.View(epoch.Add(2*time.Second), &p).Queued[wire.PriorityHigh])
}

// TestSpeedEstimateConverges simulates endpoints whose prefill time differs from
// the nominal time by a constant factor, plus a part that grows with the number of
// running sequences.
func TestSpeedEstimateConverges(t *testing.T) {
	for _, actual := range []struct{ constant, perUnit float64 }{{1, 0.1}, {2, 0.5}, {0.7, 0.3}} {
		s := newSpeed()
		for i := range 400 {
			running := i % 33
			s.observe(actual.constant+actual.perUnit*float64(running)/runningUnit, running)
		}
		for _, running := range []int{0, 16, 32} {
			require.InEpsilon(t, actual.constant+actual.perUnit*float64(running)/runningUnit, s.slowdown(running), 0.1)
		}
	}
}

func TestSpeedEstimateLimitsOutlier(t *testing.T) {
	s := newSpeed()
	for i := range 100 {
		s.observe(1, i%8)
	}
	s.observe(1000, 0)
	require.Less(t, s.slowdown(0), 1.5)
}

// cacheModel is the test oracle: the content of one endpoint's prefix cache, and
// all its events.
type cacheModel struct {
	blocks map[uint64]bool
	events []wire.CacheEvent
}

func (m *cacheModel) change(added, removed []uint64) {
	for _, b := range removed {
		delete(m.blocks, b)
	}
	for _, b := range added {
		m.blocks[b] = true
	}
	m.events = append(m.events, wire.CacheEvent{Sequence: int64(len(m.events) + 1), Added: added, Removed: removed})
}

// TestPrefixesDropEntriesBeforeSequenceGap guards against stale entries after
// lost events: the index may only contain blocks that are cached, and without
// lost events it equals the cache.
func TestPrefixesDropEntriesBeforeSequenceGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := cacheModel{blocks: make(map[uint64]bool)}
		x := NewPrefixes()
		lost := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.change(
				rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 3).Draw(t, "added"),
				rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 3).Draw(t, "removed"))
			e := m.events[len(m.events)-1]
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				lost = true
				continue
			}
			x.Apply(epoch, wire.CacheEvents{Events: []wire.CacheEvent{e}})
			for b := range x.recordedAt {
				if !m.blocks[b] {
					t.Fatalf("block %d is in the index but not cached", b)
				}
			}
			if !lost && len(x.recordedAt) != len(m.blocks) {
				t.Fatalf("index has %d blocks, cache has %d", len(x.recordedAt), len(m.blocks))
			}
		}
	})
}

func TestPrefixesExpireAndFollowAnswers(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4}
	x := NewPrefixes()
	x.Apply(epoch, wire.CacheEvents{Incarnation: "a", Events: []wire.CacheEvent{{Sequence: 1, Added: blocks}}})
	require.EqualValues(t, 4*BlockTokens, x.Cached(epoch, blocks))
	require.EqualValues(t, 2*BlockTokens, x.Cached(epoch, []uint64{1, 2, 30, 40}))
	require.Zero(t, x.Cached(epoch, []uint64{10, 2, 3, 4}))

	x.Observe(epoch, blocks, 2*BlockTokens)
	require.LessOrEqual(t, x.Cached(epoch, blocks), int64(2*BlockTokens))
	require.Zero(t, x.Cached(epoch.Add(prefixMaxAge+time.Second), blocks))

	x.Apply(epoch, wire.CacheEvents{Incarnation: "b"})
	require.Zero(t, x.Cached(epoch, blocks))
}

// TestBisectionFindsLongestPrefix indexes the first blocks of a prompt and checks
// that the search returns exactly their tokens.
func TestBisectionFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "blocks")
		held := rapid.IntRange(0, n).Draw(t, "held")
		blocks := make([]uint64, n)
		for i := range blocks {
			blocks[i] = uint64(i + 1)
		}
		x := NewPrefixes()
		x.Apply(epoch, wire.CacheEvents{Events: []wire.CacheEvent{{Sequence: 1, Added: slices.Clone(blocks[:held])}}})
		if got := x.predictedTokens(epoch, blocks); got != int64(held)*BlockTokens {
			t.Fatalf("found %d tokens, %d blocks are cached", got, held)
		}
	})
}
