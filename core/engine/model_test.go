package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the time at which the tests begin.
var start = time.Unix(1_700_000_000, 0)

func at(ms float64) time.Time { return start.Add(Duration(ms)) }

func figures() *Figures {
	return &Figures{
		Slots: 16, MemoryTokens: 450_000, Stride: 40, ChunkTokens: 8192,
		StepMs: 1, PerWriterMs: 0.05, ContextPer1kMs: 0.01,
		ReadTokensPerMs: 256, PairsPerMillionMs: 0.09,
	}
}

// writing is a model with so many requests that write, and the length of their
// pass in ms.
func writing(writers int) (*Model, float64) {
	f := figures()
	m := NewModel(f)
	m.Write(start, writers, 0)
	return m, f.PassMs(writers, 0)
}

func TestPromptIsReadInThePassThatFollowsItsArrival(t *testing.T) {
	m, pass := writing(4)
	p := m.figures.NewPart(5000, 1)
	m.Add(at(pass/2), p)
	require.InDelta(t, p.Ms, m.ReadingMs(at(pass-0.1)), 0.01, "the pass under way does not read it")
	require.InDelta(t, p.Ms/2, m.ReadingMs(at(2*pass+p.Ms/2)), 0.01)
	require.Zero(t, m.ReadingMs(at(2*pass+p.Ms+1)))
}

func TestForecastAgreesWithThePassesPlayed(t *testing.T) {
	for _, tokens := range []int{1000, 20_000, 200_000, 400_000} {
		m, pass := writing(4)
		p := m.figures.NewPart(tokens, 1)
		now := at(pass / 3)
		first := m.Forecast(now, *p).FirstMs
		m.Add(now, p)
		seen := 0.0
		for m.ReadingMs(now.Add(Duration(seen))) > 0 {
			seen++
		}
		passes := float64(tokens) / float64(m.figures.Stride*m.figures.ChunkTokens)
		require.InDelta(t, first, seen, pass*(1+passes), "%d tokens", tokens)
	}
}

// A pass that ends a little later than predicted must not be taken for the one
// that follows it, which may read a long prompt.
func TestLateSignOfAPassKeepsTheLongPromptThatTheNextOneReads(t *testing.T) {
	m, pass := writing(4)
	short := m.figures.NewPart(1000, 1)
	m.Add(at(1), short)
	long := m.figures.NewPart(230_000, 1)
	m.Add(at(pass+5), long)
	end := 2*pass + short.Ms
	seen := at(end + 7)
	longMs := long.Ms

	m.Read(seen, short)

	require.InDelta(t, longMs, m.ReadingMs(seen), 0.01)
	f := m.Forecast(seen, *m.figures.NewPart(1000, 1))
	require.Greater(t, f.FirstMs, longMs, "what comes now waits for the long prompt")
}

// A pass that ends before its predicted end has read what it was to read.
func TestEarlySignOfAPassEndsIt(t *testing.T) {
	m, pass := writing(4)
	short := m.figures.NewPart(12_000, 1)
	other := m.figures.NewPart(12_000, 1)
	m.Add(at(1), short)
	m.Add(at(1), other)
	seen := at(pass + short.Ms + 1)

	m.Read(seen, short)

	require.Zero(t, m.ReadingMs(seen), "both were read in the pass that ended")
}

// The first event of a prompt that several engines read tells of a pass of its
// receiver, though that one's own part was read long before.
func TestFirstEventOfASharedPromptEndsThePassThatIsNearlyOver(t *testing.T) {
	m, pass := writing(4)
	shared := m.figures.NewPart(40_000, 8)
	m.Add(at(1), shared)
	later := m.figures.NewPart(60_000, 1)
	m.Add(at(3*pass), later)
	begin := 3*pass + shared.Ms
	require.InDelta(t, later.Ms, m.ReadingMs(at(begin-1)), 0.01)

	early := at(begin + (pass+later.Ms)/10)
	m.Read(early, shared)
	require.InDelta(t, m.figures.ReadMs(60_000, 1), m.ReadingMs(early), 0.01)

	late := early.Add(Duration((pass + later.Ms) * 0.9))
	m.Read(late, shared)
	require.Zero(t, m.ReadingMs(late))
}

func TestPartThatIsTakenAwayIsNotRead(t *testing.T) {
	m, pass := writing(2)
	p := m.figures.NewPart(100_000, 1)
	m.Add(at(1), p)
	m.Remove(at(pass/2), p)
	require.Zero(t, m.ReadingMs(at(pass/2)))
}

func TestPartsForOthersAreReadFirst(t *testing.T) {
	m, pass := writing(2)
	own := m.figures.NewPart(2_000_000, 1)
	own.Ms = 8000
	m.Add(at(1), own)
	helped := m.figures.NewPart(20_000, 2)
	now := at(pass + 10)
	f := m.Forecast(now, *helped)
	m.Add(now, helped)
	behind := m.Forecast(now, *m.figures.NewPart(20_000, 1))
	require.Less(t, f.FirstMs, behind.FirstMs/2)
}

// A pass that ends long before a long part could be read has not read it.
func TestEarlySignOfAPassKeepsWhatItHadNoTimeToRead(t *testing.T) {
	m, pass := writing(4)
	short := m.figures.NewPart(1000, 1)
	m.Add(at(1), short)
	helped := m.figures.NewPart(230_000, 2)
	helpedMs := helped.Ms
	m.Add(at(pass-2), helped)
	seen := at(pass + short.Ms + 40)
	require.Greater(t, helpedMs, 10*pass)

	m.Read(seen, short)

	require.InDelta(t, helpedMs, m.ReadingMs(seen), 0.01)
	f := m.Forecast(seen, *m.figures.NewPart(1000, 1))
	require.Greater(t, f.FirstMs, helpedMs)
}

// Of the parts of shared prompts the last one that came is read first, so that
// the first can wait for as long as others come.
func TestLastSharedPartIsReadFirst(t *testing.T) {
	m := NewModel(figures())
	first := m.figures.NewPart(200_000, 4)
	second := m.figures.NewPart(200_000, 4)
	each := first.Ms
	m.Add(start, first)
	m.Add(at(1), second)
	m.Advance(at(1 + 1.5*each))
	require.Zero(t, second.Tokens)
	require.Positive(t, first.Tokens)
}
