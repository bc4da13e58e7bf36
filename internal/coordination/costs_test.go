package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/workcost"
)

// learningVMs is like startVMs with costs that are learned.
func learningVMs(t *testing.T, names []string, endpoints int) map[string]*testVM {
	return startVMsWith(t, names, endpoints, func(cfg *dispatch.Config) { cfg.LearnCosts = true })
}

// serve places calls at the VM one after the other, each of which takes some time.
func (v *testVM) serve(t *testing.T, name string, n int, took time.Duration) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint(name, i)
		v.place(t, id)
		time.Sleep(took)
		v.Finished(id, dispatch.End{Outcome: dispatch.Served})
	}
}

// TestNewHolderKnowsTheCosts changes the holder after calls of two VMs. It guards against a new holder
// that counts calls until it has observed some itself.
func TestNewHolderKnowsTheCosts(t *testing.T) {
	vms := learningVMs(t, []string{"a", "b", "c"}, 2)
	holder, _ := loseHolder(t, vms, func(v *testVM, id string) { v.serve(t, "call"+id, 5, 20*time.Millisecond) })
	require.Eventually(t, func() bool {
		sum := holder.local.costs("s")
		// The holder has observed 5 calls itself, and 5 are those of the other VM.
		return len(sum.Kinds) > 0 && sum.Kinds[len(sum.Kinds)-1].Evidence > 6
	}, 3*time.Second, time.Millisecond)
	p := holder.place(t, "next")
	require.Greater(t, p.Expected, 15*time.Millisecond)
	require.Greater(t, p.Evidence, 1.0)
}

// TestPlacementOfAnotherVMNamesItsEstimate guards against an estimate that does not reach the owner of
// the call, and one that is made without LearnCosts.
func TestPlacementOfAnotherVMNamesItsEstimate(t *testing.T) {
	for _, learn := range []bool{false, true} {
		vms := startVMsWith(t, []string{"a", "b"}, 2, func(cfg *dispatch.Config) { cfg.LearnCosts = learn })
		other := otherVM(vms, holderOf(vms))
		other.serve(t, "call", 5, 10*time.Millisecond)
		require.Eventually(t, func() bool { _, placed := holderOf(vms).counts(); return placed == 0 }, time.Second, time.Millisecond)
		p := other.place(t, "next")
		require.NotEqual(t, other.name, p.Holder)
		require.Equal(t, learn, p.Expected >= 10*time.Millisecond && p.Evidence >= 1)
	}
}

// TestCostsMessageIsBounded guards against a summary that takes many bytes, and against one that is
// out of range.
func TestCostsMessageIsBounded(t *testing.T) {
	cfg := dispatch.DefaultConfig()
	cfg.LearnCosts = true
	l := NewLocalDispatcher(cfg, quarantine.DefaultConfig())
	l.onDecisions = func([]dispatch.Decision) {}
	m := costsMessage{Kinds: []kindMessage{{Mean: -1, Evidence: 5}, {Mean: 1 << 62, Evidence: 5}, {Level: 99, Mean: 5, Evidence: 5}}}
	for i := range 1000 {
		m.Kinds = append(m.Kinds, kindMessage{Route: "route", Method: "POST", Organisation: fmt.Sprint("organisation", i), Size: 10, Mean: 60000, Spread: 0.25, Evidence: 7.25})
		m.Paces = append(m.Paces, paceMessage{fmt.Sprint("endpoint", i), 1700000000000000000, 5, 3})
	}
	l.addCosts("s", &m)
	sum := l.costs("s")
	require.Len(t, sum.Kinds, workcost.MaxSummaryKinds-3)
	require.Len(t, sum.Paces, workcost.MaxSummaryPaces)
	encoded, err := json.Marshal(encodeCosts(sum))
	require.NoError(t, err)
	require.Less(t, len(encoded), 12000)
	t.Log(len(encoded), "bytes")
	require.Nil(t, encodeCosts(workcost.Summary{}))
}

// TestJobMessageCarriesTheKind guards against a kind that is lost between VMs, and against fields of
// prompts that nobody reads.
func TestJobMessageCarriesTheKind(t *testing.T) {
	now := time.Now()
	j := dispatch.Job{ID: "1", Owner: "a", Service: "s", Route: "r", Method: "POST", BodyBytes: 4000, Deadline: now}
	decoded := encodeJob(now, j).job(now, "a")
	require.Equal(t, []any{j.Route, j.Method, j.BodyBytes}, []any{decoded.Route, decoded.Method, decoded.BodyBytes})
	j.PromptTokens = 5
	require.Empty(t, encodeJob(now, j).Route)
}

// TestJobOfAnEarlierBuildHasNoDomain guards against a job that is refused or preferred somewhere because
// its owner, of an earlier build, sends no failure domain, and against bytes for one that is not known.
func TestJobOfAnEarlierBuildHasNoDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	var earlier jobMessage
	require.NoError(t, json.Unmarshal([]byte(`{"id":"1","s":"s","a":0,"e":1000000,"n":500}`), &earlier))
	require.Empty(t, earlier.job(now, "a").Domain)
	j := dispatch.Job{ID: "1", Owner: "a", Service: "s", Arrived: now, Deadline: now.Add(time.Second), PromptTokens: 500}
	without, err := json.Marshal(encodeJob(now, j))
	require.NoError(t, err)
	require.NotContains(t, string(without), `"y"`)
	j.Domain = "x"
	require.Equal(t, "x", encodeJob(now, j).job(now, "a").Domain)
}
