package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

// bench is a Tracker with a clock.
type bench struct {
	*Tracker
	list *List
	now  time.Time
	next int
}

func newBench() *bench {
	list := NewList(DefaultConfig())
	return &bench{Tracker: NewTracker(DefaultConfig(), list), list: list, now: simStart}
}

func (b *bench) place(endpoint string, parts ...string) dispatch.JobKey {
	b.next++
	key := dispatch.JobKey{Owner: "vm", ID: strconv.Itoa(b.next)}
	b.Placed(b.now, Job{Key: key, Service: "s", Endpoint: endpoint, Parts: parts, Deadline: b.now.Add(10 * time.Second)})
	return key
}

// decide lets the time pass in which crashes are decided, and returns the findings.
func (b *bench) decide() []Finding {
	b.now = b.now.Add(DefaultConfig().Moment)
	return b.Tick(b.now)
}

// crash places a prompt alone at an endpoint, which crashes.
func (b *bench) crash(endpoint string, parts ...string) []Finding {
	b.Ended(b.now, b.place(endpoint, parts...), BrokenOff, Identity{})
	return b.decide()
}

func (b *bench) answer(parts ...string) []Finding {
	key := b.place("sound", parts...)
	b.Began(b.now, key)
	return b.Ended(b.now, key, Answered, Identity{})
}

var found = []Finding{{Service: "s", Subject: Subject{Part: "p"}}}

// TestNewPartIsFoundAfterThreeCrashes lets requests with a part that no answered prompt
// had crash their endpoints.
func TestNewPartIsFoundAfterThreeCrashes(t *testing.T) {
	b := newBench()
	require.Empty(t, b.answer("shared", "own0"))
	require.Empty(t, b.crash("1", "shared", "p", "own1"))
	b.answer("shared", "own0")
	require.Empty(t, b.crash("2", "shared", "p", "own2"))
	b.answer("shared", "own0")
	require.Equal(t, found, b.crash("3", "shared", "p", "own2"))
}

// TestRetriesOfOneRequestAreNotEnough lets one request and its retries be where
// endpoints crash.
func TestRetriesOfOneRequestAreNotEnough(t *testing.T) {
	b := newBench()
	for i := range 2 * DefaultConfig().Crashes {
		require.Empty(t, b.crash(strconv.Itoa(i), "p", "own"))
	}
}

// TestPartOfAnsweredPromptsNeedsMore lets a part crash endpoints that prompts were
// answered with before.
func TestPartOfAnsweredPromptsNeedsMore(t *testing.T) {
	b := newBench()
	b.answer("p", "own0")
	for i := range DefaultConfig().Crashes {
		require.Empty(t, b.crash(strconv.Itoa(i), "p", "own"+strconv.Itoa(i)))
	}
	require.Equal(t, found, b.crash("9", "p", "own9"))
}

// TestAnswerClearsAPart answers a prompt with the part between two crashes.
func TestAnswerClearsAPart(t *testing.T) {
	b := newBench()
	for i := range 10 {
		require.Empty(t, b.crash(strconv.Itoa(i), "p", "own"+strconv.Itoa(i)))
		if i%2 == 1 {
			b.answer("p", "own")
		}
	}
}

// TestPromptBeingAnsweredClearsItsParts has a prompt with the part in flight that began
// a while ago.
func TestPromptBeingAnsweredClearsItsParts(t *testing.T) {
	b := newBench()
	b.Began(b.now, b.place("sound", "p", "own"))
	b.now = b.now.Add(DefaultConfig().BeginGrace)
	for i := range 6 {
		require.Empty(t, b.crash(strconv.Itoa(i), "p", "own"+strconv.Itoa(i)))
	}
}

// TestFailureIsNoAnswer ends prompts with the part by failures that are answers of the
// endpoint: they don't clear it.
func TestFailureIsNoAnswer(t *testing.T) {
	b := newBench()
	b.crash("1", "p", "own1")
	b.Ended(b.now, b.place("2", "p", "own"), Answered, Identity{}) // it did not begin
	b.crash("2", "p", "own2")
	b.Ended(b.now, b.place("2", "p", "own"), Other, Identity{})
	require.Equal(t, found, b.crash("3", "p", "own3"))
}

// TestSingleBrokenAnswerIsNoCrash breaks off one prompt while others go on at the
// endpoint.
func TestSingleBrokenAnswerIsNoCrash(t *testing.T) {
	b := newBench()
	for i := range 10 {
		b.place("e", "q", "own")
		require.Empty(t, b.crash("e", "p", "own"+strconv.Itoa(i)))
	}
	require.Empty(t, b.Crashes("s"))
}

// TestLastPartIsNeverFound lets one request crash endpoints that has no other part.
func TestLastPartIsNeverFound(t *testing.T) {
	b := newBench()
	for i := range 10 {
		require.Empty(t, b.crash(strconv.Itoa(i), "own"))
	}
}

// TestWithheldPartExplainsCrashes decides on a finding: crashes by prompts that were in
// flight tell nothing about their other parts, and are no new finding.
func TestWithheldPartExplainsCrashes(t *testing.T) {
	b := newBench()
	for i := range DefaultConfig().Crashes {
		b.crash(strconv.Itoa(i), "q", "p", "own"+strconv.Itoa(i))
		b.answer("q", "own")
	}
	_, added := b.list.Decide(b.now, found[0])
	require.True(t, added)
	b.Explain("s", Subject{Part: "p"})
	for i := range 10 {
		require.Empty(t, b.crash("e"+strconv.Itoa(i), "q", "p", "late"+strconv.Itoa(i)))
	}
	require.Empty(t, b.Crashes("s"))
}

// TestWithheldRequestsLeaveTheEvidenceOnTheirPart guards against verdicts on requests that take their
// crashes from the evidence on a part which they share, so that many more engines are lost before the
// part is withheld. Each prompt comes again until it is withheld by itself.
func TestWithheldRequestsLeaveTheEvidenceOnTheirPart(t *testing.T) {
	b := newBench()
	crashes := 0
	for _, own := range []string{"own1", "own2", "own3"} {
		for range DefaultConfig().Crashes {
			key := b.place("e"+strconv.Itoa(crashes), "q", "p", own)
			b.now = b.now.Add(DefaultConfig().MinRun)
			b.Ended(b.now, key, BrokenOff, Identity{Digest: own})
			findings := b.decide()
			b.answer("q", "own")
			crashes++
			if slices.Contains(findings, found[0]) {
				require.Equal(t, DefaultConfig().Crashes+1, crashes, "the second prompt is another request")
				return
			}
			for _, f := range findings {
				b.list.Decide(b.now, f)
				b.Explain("s", f.Subject)
			}
		}
	}
	t.Fatal("the part was not found")
}

// TestCrashesOfAWithheldRequestCountForItsPart guards against crashes by a withheld request, which was in
// flight there, that are lost as evidence on its part, or count against other requests.
func TestCrashesOfAWithheldRequestCountForItsPart(t *testing.T) {
	b := newBench()
	b.list.Decide(b.now, Finding{Service: "s", Subject: Subject{Digest: "own1"}})
	for i := range DefaultConfig().Crashes - 1 {
		victim := b.place(strconv.Itoa(i), "v", "own")
		b.Ended(b.now, b.place(strconv.Itoa(i), "p", "own1"), BrokenOff, Identity{Digest: "own1"})
		b.Ended(b.now, victim, BrokenOff, Identity{Digest: "own"})
		require.Empty(t, b.decide())
	}
	require.Empty(t, b.Evidence("s", Subject{Part: "v"}))
	require.Empty(t, b.Evidence("s", Subject{Digest: "own"}))
	require.Equal(t, found, b.crash("9", "p", "own2"))
}

// TestAnswerReleasesAWithheldPart answers a prompt with a withheld part that was in
// flight.
func TestAnswerReleasesAWithheldPart(t *testing.T) {
	b := newBench()
	key := b.place("sound", "p", "own")
	b.list.Decide(b.now, found[0])
	b.Began(b.now, key)
	require.Equal(t, []Finding{{Service: "s", Subject: Subject{Part: "p"}, Sound: true}}, b.Ended(b.now, key, Answered, Identity{}))
}

// TestOneCrashIsEnoughAgain lets the verdict on a part end: the next crash is enough.
func TestOneCrashIsEnoughAgain(t *testing.T) {
	b := newBench()
	v, _ := b.list.Decide(b.now, found[0])
	b.now = v.Until
	require.Equal(t, found, b.crash("1", "p", "own"))
}

// TestPartsThatStayTogether lets two parts be in all requests that crash: after twice as
// many crashes the later one is found.
func TestPartsThatStayTogether(t *testing.T) {
	b := newBench()
	n := 2 * DefaultConfig().Crashes
	for i := range n - 1 {
		require.Empty(t, b.crash(strconv.Itoa(i), "a", "p", "own"+strconv.Itoa(i)))
	}
	require.Equal(t, found, b.crash("9", "a", "p", "own9"))
}

// TestCrashesOfAnotherVMCount moves the evidence to another tracker, as when the holder
// of the service changes. Reports of one crash by several VMs are one crash.
func TestCrashesOfAnotherVMCount(t *testing.T) {
	old, holder := newBench(), newBench()
	for i := range DefaultConfig().Crashes - 1 {
		old.crash(strconv.Itoa(i), "p", "own"+strconv.Itoa(i))
	}
	for range 2 {
		for _, c := range old.Crashes("s") {
			holder.AddCrash(old.now, "s", c)
		}
	}
	require.Len(t, holder.Crashes("s"), DefaultConfig().Crashes-1)
	holder.now = old.now
	require.Equal(t, found, holder.crash("9", "p", "own9"))
}

// TestTrackerForgets drops the jobs of a VM, and those whose end is not reported.
func TestTrackerForgets(t *testing.T) {
	b := newBench()
	b.place("e", "p", "own")
	b.DropOwner("vm")
	require.Empty(t, b.jobs)
	b.place("e", "p", "own")
	b.now = b.now.Add(time.Minute)
	b.Tick(b.now)
	require.Empty(t, b.jobs)
	require.Empty(t, b.atEndpoint)
}
