package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
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
	probes := 0
	require.Eventually(t, func() bool {
		probes++
		id := fmt.Sprint("probe", probes)
		evidence := holder.place(t, id).Evidence
		holder.Finished(id, dispatch.End{Outcome: dispatch.Abandoned})
		// The holder has observed 5 calls itself, and 5 are those of the other VM.
		return evidence > 6
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
	now := time.Now()
	const many = 1000
	known := workcost.New(workcost.DefaultConfig())
	for i := range 4 * many {
		// Half of the endpoints are slow.
		took := time.Duration(1+4*(i%2)) * 60 * time.Millisecond
		known.Observe(now, workcost.Observation{Kind: workcost.Kind{Service: "s", Route: "route"}, Endpoint: fmt.Sprint("endpoint", i%many), Incarnation: 1700000000000000000, Took: took})
	}
	for i := range many {
		k := workcost.Kind{Service: "s", Route: "route", Method: "POST", Organisation: fmt.Sprint("organisation", i), Size: 10}
		known.Observe(now, workcost.Observation{Kind: k, Endpoint: "endpoint0", Took: 60 * time.Millisecond})
	}
	sum := known.Summary(now, "s")
	require.Len(t, sum.Kinds, workcost.MaxSummaryKinds)
	require.Len(t, sum.Paces, workcost.MaxSummaryPaces)
	encoded, err := json.Marshal(encodeCosts(sum))
	require.NoError(t, err)
	require.Less(t, len(encoded), 12000)
	t.Log(len(encoded), "bytes")
	require.Nil(t, encodeCosts(workcost.Summary{}))

	m := costsMessage{Kinds: []kindMessage{{Mean: -1, Evidence: 5}, {Mean: 1 << 62, Evidence: 5}, {Level: 99, Mean: 5, Evidence: 5}}}
	for i := range many {
		m.Kinds = append(m.Kinds, kindMessage{Route: "route", Method: "POST", Organisation: fmt.Sprint("organisation", i), Size: 10, Mean: 60000, Spread: 0.25, Evidence: 7.25})
		m.Paces = append(m.Paces, paceMessage{fmt.Sprint("endpoint", i), 1700000000000000000, 5, 3})
	}
	received := m.summary("s")
	require.Len(t, received.Paces, workcost.MaxSummaryPaces)
	one := workcost.New(workcost.DefaultConfig())
	one.Merge(now, "s", "other", workcost.Summary{Kinds: received.Kinds[1:2]})
	wider := one.Kinds() - 1
	all := workcost.New(workcost.DefaultConfig())
	all.Merge(now, "s", "other", received)
	require.Equal(t, workcost.MaxSummaryKinds-3+wider, all.Kinds(), "three kinds are out of range")
}

// TestCostsStayTheSameOverHandOvers guards against estimates that get stiff, so that a changed cost is
// learned late: with each change of the holder the same observations were added again.
func TestCostsStayTheSameOverHandOvers(t *testing.T) {
	names := []string{"a", "b", "c"}
	vms := learningVMs(t, names, 2)
	const calls = 4
	vms["a"].serve(t, "call", calls, 5*time.Millisecond)
	for i := range 6 {
		setLeaving(vms, vms[names[i%len(names)]], vms["a"], vms["b"], vms["c"])
		for _, v := range vms {
			v.awaitTransfer(context.Background(), v.holder("s"))
		}
	}
	for _, v := range vms {
		p := v.place(t, "next"+v.name)
		require.LessOrEqual(t, p.Evidence, float64(calls), v.name)
		require.Positive(t, p.Evidence, v.name)
		v.Finished("next"+v.name, dispatch.End{Outcome: dispatch.Abandoned})
	}
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
