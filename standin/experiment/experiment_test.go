package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/admission"
)

// shortStudy keeps the run time of the tests to seconds. The figures in the
// documentation come from cmd/experiment.
func shortStudy() *Study {
	return &Study{Seeds: []uint64{1}, Duration: 100 * time.Second, Workers: 1}
}

var (
	leastOutstandingFCFS       = variant{"fcfs", func(c *Cell) { c.Policy = LeastOutstanding }}
	leastOutstandingPriorities = variant{"priorities", func(c *Cell) { c.Policy, c.Priorities = LeastOutstanding, true }}
)

func TestRunIsDeterministic(t *testing.T) {
	s := shortStudy()
	cell := s.newTask(Kivukoni, 0.9, predictiveWith(-1, nil), conditions[len(conditions)-1].set).cell
	require.Equal(t, Run(cell), Run(cell))
	other := cell
	other.Seed++
	require.NotEqual(t, Run(cell), Run(other))
}

// TestEveryPromptEndsByDeadline runs a baseline and the predictive policy with
// admission through an engine failure, late reports and overload. Every prompt
// must be resolved, no answer may complete after its deadline, a refused prompt
// must never have been sent, and all memory must be released.
func TestEveryPromptEndsByDeadline(t *testing.T) {
	s := shortStudy()
	cfg := admission.DefaultConfig()
	admitted := variant{"with admission", predictiveWith(-1, func(c *Cell) { c.Admission = &cfg })}
	for _, load := range []float64{0.9, 1.5} {
		for _, c := range []variant{leastOutstandingFCFS, admitted} {
			t.Run(fmt.Sprint(c.name, load), func(t *testing.T) {
				cell := s.newTask(Vltavske, load, c.set, conditions[len(conditions)-1].set).cell
				r := newRun(cell)
				r.runTimers()
				requireAllResolved(t, r)
			})
		}
	}
}

func requireAllResolved(t *testing.T, r *run) {
	t.Helper()
	for _, j := range r.jobs {
		require.True(t, j.resolved, "job %d has no end", j.id)
		require.LessOrEqual(t, j.endedAt, j.deadline)
		if j.refused {
			require.Zero(t, j.attempt)
		}
	}
	require.Empty(t, r.jobsBySequence)
	require.Zero(t, r.groupMemory)
	for _, n := range r.nodes {
		if !n.dead {
			require.Equal(t, r.cell.engineConfigs[n.index].MemoryTokens, n.model.Free())
			require.Zero(t, r.lowPriorityHeld[n.index])
		}
	}
}

// TestPredictivePolicyBeatsBaselines checks each deployment's targets on one
// small cell, so that a change that misses them is noticed early. The baselines
// are the strongest of those that cmd/experiment measures.
func TestPredictivePolicyBeatsBaselines(t *testing.T) {
	s := shortStudy()
	s.Duration = 3 * time.Minute
	list := []variant{leastOutstandingFCFS, leastOutstandingPriorities, {"predictive", predictiveWith(-1, nil)}}
	for _, m := range allMixes {
		entries := s.measure(m, 0.75, conditions[0], list)
		own := entries[len(entries)-1]
		for _, e := range entries[:len(entries)-1] {
			require.GreaterOrEqual(t, own.full.goodput(), e.full.goodput(), e.name)
			if m.Name == Kivukoni.Name {
				require.LessOrEqual(t, own.full.ttft(Short, p99), e.withoutLong.ttft(Short, p99), e.name)
				require.LessOrEqual(t, own.slowdown(), maxShortSlowdown)
				continue
			}
			require.LessOrEqual(t, own.full.ttft(Long, p50), maxLongRatio*e.full.ttft(Long, p50), e.name)
			require.LessOrEqual(t, own.full.ttft(Long, p95), maxLongRatio*e.full.ttft(Long, p95), e.name)
		}
	}
}

// TestAdmissionKeepsLateAnswersRare compares admission with admitting all
// prompts, under overload.
func TestAdmissionKeepsLateAnswersRare(t *testing.T) {
	s := shortStudy()
	cfg := admission.DefaultConfig()
	all := s.newTask(Vltavske, 2.5, predictiveWith(-1, nil))
	decided := s.newTask(Vltavske, 2.5, predictiveWith(-1, func(c *Cell) { c.Admission = &cfg }))
	s.run([]*task{all, decided})
	late := func(t *task) float64 { return t.mean((*Result).LateShare) }
	require.Less(t, late(decided), late(all)/2)
	require.Positive(t, decided.refused())
}

// TestLongPromptsWaitRatherThanFillMemory compares the policy with one without
// headroom. Without it, long prompts do not wait for memory, and short prompts
// are delayed at engines whose memory is full.
func TestLongPromptsWaitRatherThanFillMemory(t *testing.T) {
	s := shortStudy()
	with := s.newTask(Kivukoni, 0.9, predictiveWith(-1, nil))
	without := s.newTask(Kivukoni, 0.9, predictiveWith(-1, func(c *Cell) { c.Placement.Headroom = 0 }))
	s.run([]*task{with, without})
	require.Less(t, with.ttft(Short, p99), without.ttft(Short, p99))
}

func TestQuantiles(t *testing.T) {
	values := []time.Duration{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	require.EqualValues(t, 5, quantile(values, 0.5))
	require.EqualValues(t, 10, quantile(values, 0.99))
	require.Zero(t, quantile(nil, 0.5))
}
