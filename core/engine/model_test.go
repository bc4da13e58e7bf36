package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the simulated start time of the tests.
var start = time.Unix(1_700_000_000, 0)

func at(ms float64) time.Time { return start.Add(Duration(ms)) }

func testCostModel() *CostModel {
	return &CostModel{
		Slots: 16, MemoryTokens: 450_000, Stride: 40, ChunkTokens: 8192,
		StepMs: 1, PerSequenceMs: 0.05, ContextPer1kMs: 0.01,
		PrefillTokensPerMs: 256, PairsPerMillionMs: 0.09,
	}
}

// newDecodingModel returns a model with the given number of decoding requests,
// and the length of its passes in milliseconds.
func newDecodingModel(decoding int) (*Model, float64) {
	f := testCostModel()
	m := NewModel(f)
	m.AddDecoding(start, decoding, 0)
	return m, f.PassMs(decoding, 0)
}

func TestPrefillStartsInNextPass(t *testing.T) {
	m, pass := newDecodingModel(4)
	p := m.costModel.NewPrefillPart(5000, 1)
	m.Add(at(pass/2), p)
	require.InDelta(t, p.Ms, m.PendingPrefillMs(at(pass-0.1)), 0.01, "the current pass does not prefill it")
	require.InDelta(t, p.Ms/2, m.PendingPrefillMs(at(2*pass+p.Ms/2)), 0.01)
	require.Zero(t, m.PendingPrefillMs(at(2*pass+p.Ms+1)))
}

func TestForecastMatchesSimulation(t *testing.T) {
	for _, tokens := range []int{1000, 20_000, 200_000, 400_000} {
		m, pass := newDecodingModel(4)
		p := m.costModel.NewPrefillPart(tokens, 1)
		now := at(pass / 3)
		first := m.Forecast(now, *p).FirstMs
		m.Add(now, p)
		seen := 0.0
		for m.PendingPrefillMs(now.Add(Duration(seen))) > 0 {
			seen++
		}
		passes := float64(tokens) / float64(m.costModel.Stride*m.costModel.ChunkTokens)
		require.InDelta(t, first, seen, pass*(1+passes), "%d tokens", tokens)
	}
}

// A pass that ends slightly later than predicted must not be mistaken for the
// next one, which may contain the prefill of a long prompt.
func TestLatePassEndKeepsLongPromptOfNextPass(t *testing.T) {
	m, pass := newDecodingModel(4)
	short := m.costModel.NewPrefillPart(1000, 1)
	m.Add(at(1), short)
	long := m.costModel.NewPrefillPart(230_000, 1)
	m.Add(at(pass+5), long)
	end := 2*pass + short.Ms
	seen := at(end + 7)
	longMs := long.Ms

	m.PrefillCompleted(seen, short)

	require.InDelta(t, longMs, m.PendingPrefillMs(seen), 0.01)
	f := m.Forecast(seen, *m.costModel.NewPrefillPart(1000, 1))
	require.Greater(t, f.FirstMs, longMs, "a new part waits for the long prompt")
}

// A pass that ends before its predicted end has completed its prefill work.
func TestEarlyPassEndCompletesPass(t *testing.T) {
	m, pass := newDecodingModel(4)
	short := m.costModel.NewPrefillPart(12_000, 1)
	other := m.costModel.NewPrefillPart(12_000, 1)
	m.Add(at(1), short)
	m.Add(at(1), other)
	seen := at(pass + short.Ms + 1)

	m.PrefillCompleted(seen, short)

	require.Zero(t, m.PendingPrefillMs(seen), "both were prefilled in the pass that ended")
}

// The first event of a prompt that is split over several engines marks the end
// of a pass of the receiving engine, even if that engine completed its own part
// much earlier.
func TestSharedPromptEventEndsNearlyCompletePass(t *testing.T) {
	m, pass := newDecodingModel(4)
	shared := m.costModel.NewPrefillPart(40_000, 8)
	m.Add(at(1), shared)
	later := m.costModel.NewPrefillPart(60_000, 1)
	m.Add(at(3*pass), later)
	begin := 3*pass + shared.Ms
	require.InDelta(t, later.Ms, m.PendingPrefillMs(at(begin-1)), 0.01)

	early := at(begin + (pass+later.Ms)/10)
	m.PrefillCompleted(early, shared)
	require.InDelta(t, m.costModel.PrefillMs(60_000, 1), m.PendingPrefillMs(early), 0.01)

	late := early.Add(Duration((pass + later.Ms) * 0.9))
	m.PrefillCompleted(late, shared)
	require.Zero(t, m.PendingPrefillMs(late))
}

func TestRemovedPartIsNotPrefilled(t *testing.T) {
	m, pass := newDecodingModel(2)
	p := m.costModel.NewPrefillPart(100_000, 1)
	m.Add(at(1), p)
	m.Remove(at(pass/2), p)
	require.Zero(t, m.PendingPrefillMs(at(pass/2)))
}

func TestSharedPartsAreProcessedFirst(t *testing.T) {
	m, pass := newDecodingModel(2)
	own := m.costModel.NewPrefillPart(2_000_000, 1)
	own.Ms = 8000
	m.Add(at(1), own)
	shared := m.costModel.NewPrefillPart(20_000, 2)
	now := at(pass + 10)
	f := m.Forecast(now, *shared)
	m.Add(now, shared)
	behind := m.Forecast(now, *m.costModel.NewPrefillPart(20_000, 1))
	require.Less(t, f.FirstMs, behind.FirstMs/2)
}

// A pass that ends long before a long part could be prefilled has not completed
// that part.
func TestEarlyPassEndKeepsUnfinishedPrefill(t *testing.T) {
	m, pass := newDecodingModel(4)
	short := m.costModel.NewPrefillPart(1000, 1)
	m.Add(at(1), short)
	shared := m.costModel.NewPrefillPart(230_000, 2)
	sharedMs := shared.Ms
	m.Add(at(pass-2), shared)
	seen := at(pass + short.Ms + 40)
	require.Greater(t, sharedMs, 10*pass)

	m.PrefillCompleted(seen, short)

	require.InDelta(t, sharedMs, m.PendingPrefillMs(seen), 0.01)
	f := m.Forecast(seen, *m.costModel.NewPrefillPart(1000, 1))
	require.Greater(t, f.FirstMs, sharedMs)
}

// Parts of shared prompts are processed last in, first out, so that the first
// one can wait for as long as others arrive.
func TestLastSharedPartIsProcessedFirst(t *testing.T) {
	m := NewModel(testCostModel())
	first := m.costModel.NewPrefillPart(200_000, 4)
	second := m.costModel.NewPrefillPart(200_000, 4)
	each := first.Ms
	m.Add(start, first)
	m.Add(at(1), second)
	m.Advance(at(1 + 1.5*each))
	require.Zero(t, second.Tokens)
	require.Positive(t, first.Tokens)
}
