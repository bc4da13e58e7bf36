package quarantine

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func crashOf(endpoint string, suspects ...Suspect) Crash {
	return Crash{Endpoint: endpoint, At: simStart, Suspects: suspects}
}

func suspectOf(request string, parts ...string) Suspect {
	return Suspect{Request: request, Parts: parts, Digest: "d" + request, PlacedAt: simStart.Add(-time.Second)}
}

// transfer tells one tracker all that another one knows, as at a change of the holder.
func transfer(now time.Time, from, to *Tracker) {
	for _, c := range from.Crashes("s") {
		to.AddCrash(now, "s", EncodeCrash(now, c).Crash(now))
	}
}

// suspectsOf returns the number of suspects of all crashes.
func suspectsOf(t *Tracker) int {
	n := 0
	for _, c := range t.Crashes("s") {
		n += len(c.Suspects)
	}
	return n
}

// TestEvidenceDoesNotGrowWithTransfers guards against evidence that fills the memory: with each
// change of the holder a tracker is told what it has told before, and added the suspects again.
func TestEvidenceDoesNotGrowWithTransfers(t *testing.T) {
	a, b := newBench(), newBench()
	a.AddCrash(a.now, "s", crashOf("e", suspectOf("1", "p"), suspectOf("2", "p"), suspectOf("3", "q")))
	for range 12 {
		transfer(a.now, a.Tracker, b.Tracker)
		transfer(a.now, b.Tracker, a.Tracker)
	}
	require.Equal(t, 3, suspectsOf(a.Tracker))
	require.Equal(t, a.Crashes("s"), b.Crashes("s"))
}

// TestClearedSuspectsStayCleared guards against a request that counts as the cause of a crash
// again, although it was answered since, as another VM tells late what it knew before.
func TestClearedSuspectsStayCleared(t *testing.T) {
	old, holder := newBench(), newBench()
	old.AddCrash(old.now, "s", crashOf("e", suspectOf("1", "p", "q"), suspectOf("2", "r")))
	transfer(old.now, old.Tracker, holder.Tracker)
	after := simStart.Add(time.Second)
	holder.clear(after, "s", "d1", []string{"p"})
	transfer(after, old.Tracker, holder.Tracker)
	require.Equal(t, []Suspect{
		{Request: "1", Parts: []string{"q"}, PlacedAt: simStart.Add(-time.Second)}, suspectOf("2", "r"),
	}, holder.Crashes("s")[0].Suspects)
	// The next holder gets the late report first.
	next := newBench()
	transfer(after, old.Tracker, next.Tracker)
	transfer(after, holder.Tracker, next.Tracker)
	require.Equal(t, holder.Crashes("s"), next.Crashes("s"))
	// What was answered before the first report came, but after the crash, is no suspect either.
	next = newBench()
	next.clear(after, "s", "d2", nil)
	transfer(after, old.Tracker, next.Tracker)
	require.Equal(t, Suspect{Request: "2", Parts: []string{"r"}, PlacedAt: simStart.Add(-time.Second)}, next.Crashes("s")[0].Suspects[0])
}

// report is a step of TestReportsMergeInAnyOrder: a report of a crash, or an answer.
type report struct {
	crash    *Crash
	answered string
}

func drawReport(t *rapid.T) report {
	part := rapid.SampledFrom([]string{"p", "q", "r"})
	if rapid.IntRange(0, 3).Draw(t, "answer") == 0 {
		return report{answered: part.Draw(t, "part")}
	}
	// Reports of one crash differ by less than its identity allows for.
	c := crashOf(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint"))
	c.At = c.At.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond)
	for range rapid.IntRange(0, 4).Draw(t, "suspects") {
		s := suspectOf(strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "request")))
		// A prompt has the same parts in all reports.
		s.Parts = [][]string{{"p"}, {"p", "q"}, {"q"}, {"r", "p"}, nil, {"r"}}[s.Request[0]-'0']
		s.Began, s.Answered = rapid.Bool().Draw(t, "began"), rapid.Bool().Draw(t, "known")
		c.Suspects = append(c.Suspects, s)
	}
	return report{crash: &c}
}

// TestReportsMergeInAnyOrder guards against evidence that depends on the order in which VMs tell of
// crashes, on how often they do, or on when an answer is seen beside them.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(drawReport), 0, 12).Draw(t, "reports")
		apply := func(list []report) *bench {
			b := newBench()
			for _, r := range list {
				if r.crash != nil {
					b.AddCrash(b.now, "s", *r.crash)
					continue
				}
				b.clear(simStart.Add(time.Second), "s", "", []string{r.answered})
			}
			return b
		}
		want := apply(reports)
		again := append(rapid.Permutation(reports).Draw(t, "order"), rapid.Permutation(reports).Draw(t, "order again")...)
		got := apply(again)
		require.ElementsMatch(t, want.Crashes("s"), got.Crashes("s"))
		if e := want.evidence["s"]; e != nil {
			counted := e.suspected
			e.suspected = make(map[Subject]int)
			e.recount()
			require.Equal(t, e.suspected, counted)
		}
	})
}

// TestEvidenceIsBounded guards against reports, also of faulty VMs, that fill the memory or the
// messages between VMs.
func TestEvidenceIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	for _, parts := range []int{0, 3, maxParts} {
		b := newBench()
		// Prompts of many parts exceed the bound on subjects with few crashes.
		fillEvidence(b.Tracker, 2*cfg.MaxCrashes/(1+parts/4), 2*cfg.MaxSuspects, parts)
		e := b.evidence["s"]
		subjects := 0
		for _, c := range e.crashes {
			require.LessOrEqual(t, len(c.Suspects), cfg.MaxSuspects)
			subjects += c.size()
		}
		require.LessOrEqual(t, len(e.crashes), cfg.MaxCrashes)
		require.LessOrEqual(t, subjects, cfg.MaxSubjects)
		require.GreaterOrEqual(t, len(e.crashes), cfg.Crashes, "a finding must stay possible")
	}
	long := strings.Repeat("x", maxIDBytes+1)
	c := CrashMessage{
		Endpoint: "e", Age: math.MinInt64, ClearedParts: []string{long, "p"},
		Suspects: []suspectMessage{{Request: long}, {Request: "1", Parts: []string{long, "p", ""}, Age: math.MaxInt64}},
	}.Crash(simStart)
	require.Equal(t, simStart, c.At, "a crash is not in the future")
	require.Equal(t, []Subject{{Part: "p"}}, c.Cleared)
	require.Equal(t, []Suspect{{Request: "1", Parts: []string{"p"}, PlacedAt: simStart.Add(-maxAge)}}, c.Suspects)
}

// TestOldReportsAreNoEvidence guards against a crash that outlives its window, as VMs tell each
// other of it again and again.
func TestOldReportsAreNoEvidence(t *testing.T) {
	b := newBench()
	late := simStart.Add(DefaultConfig().Window + time.Second)
	require.False(t, b.AddCrash(late, "s", crashOf("e", suspectOf("1", "p"))))
	require.Empty(t, b.Crashes("s"))
	// Each transfer makes the crash seem later than it was.
	for i := range 5 {
		c := crashOf("e", suspectOf("1", "p"))
		c.At = c.At.Add(time.Duration(i) * 100 * time.Millisecond)
		b.AddCrash(simStart.Add(time.Second), "s", c)
	}
	require.Len(t, b.Crashes("s"), 1)
	require.Equal(t, simStart, b.Crashes("s")[0].At)
}

// TestCrashesDoNotChangeWhileTheyAreSent guards against a data race: the crashes are encoded
// without the lock under which an answer clears their suspects.
func TestCrashesDoNotChangeWhileTheyAreSent(t *testing.T) {
	b := newBench()
	b.AddCrash(b.now, "s", crashOf("e", suspectOf("1", "p", "q"), suspectOf("2", "p")))
	taken := b.Crashes("s")
	before := fmt.Sprint(taken)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			EncodeCrash(simStart, taken[0])
		}
	}()
	b.clear(simStart.Add(time.Second), "s", "d1", []string{"p"})
	b.AddCrash(b.now, "s", crashOf("e", suspectOf("3", "r")))
	b.Explain("s", Subject{Digest: "d3"})
	<-done
	require.Equal(t, before, fmt.Sprint(taken))
}

// fillEvidence adds crashes with suspects that have parts; each request and part is suspected in
// all crashes, as far as the bounds allow.
func fillEvidence(t *Tracker, crashes, suspects, parts int) {
	for i := range crashes {
		c := crashOf("e" + strconv.Itoa(i))
		c.At = c.At.Add(time.Duration(i) * time.Second)
		for n := range suspects {
			s := Suspect{Request: "r" + strconv.Itoa(n), Digest: fmt.Sprintf("%032d", n), PlacedAt: c.At.Add(-time.Second)}
			for p := range parts {
				s.Parts = append(s.Parts, fmt.Sprintf("%d-%d", n, p))
			}
			c.Suspects = append(c.Suspects, s)
		}
		t.AddCrash(c.At, "s", c)
	}
}

// BenchmarkEvidenceAtItsBounds measures what a VM does with the dispatcher's lock held when the
// evidence is at its bounds: the search for the cause after a crash, and the merge of what eight
// VMs hand over to a new holder.
func BenchmarkEvidenceAtItsBounds(b *testing.B) {
	const vms = 8
	cfg := DefaultConfig()
	full := newBench()
	fillEvidence(full.Tracker, cfg.MaxCrashes, cfg.MaxSubjects/cfg.MaxCrashes/3, 1)
	now := simStart.Add(time.Duration(cfg.MaxCrashes) * time.Second)
	b.Run("find", func(b *testing.B) {
		for range b.N {
			full.find(now, "s")
		}
	})
	b.Run("merge", func(b *testing.B) {
		messages := make([]CrashMessage, 0, cfg.MaxCrashes)
		for _, c := range full.Crashes("s") {
			messages = append(messages, EncodeCrash(now, c))
		}
		b.ResetTimer()
		for range b.N {
			holder := newBench()
			for range vms {
				for _, m := range messages {
					holder.AddCrash(now, "s", m.Crash(now))
				}
			}
		}
	})
	b.Run("clear", func(b *testing.B) {
		for range b.N {
			full.clear(now, "s", "", []string{"none"})
		}
	})
}
