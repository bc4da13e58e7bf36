package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/fairshare"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// startFairVMs starts three VMs whose dispatchers use fair shares.
func startFairVMs(t *testing.T) map[string]*testVM {
	t.Helper()
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	for _, v := range vms {
		v.local.mu.Lock()
		cfg := dispatch.DefaultConfig()
		cfg.FairShares = true
		v.local.dispatcher = dispatch.New(cfg)
		v.local.mu.Unlock()
		v.local.SetServices([]dispatch.Service{{Name: "s"}})
		v.local.SetEndpoints([]dispatch.Endpoint{{ID: "e0", Service: "s", Slots: 2}})
	}
	return vms
}

// serveFor places and ends a call of an organisation.
func (v *testVM) serveFor(t *testing.T, id, organisation string) {
	t.Helper()
	j := newJob(id, v)
	j.Organisation = organisation
	_, err := v.Place(context.Background(), j)
	require.NoError(t, err)
	v.Finished(id, dispatch.End{Outcome: dispatch.Served})
}

// received returns the work of an organisation's requests at the VM owner, in the view of v.
func (v *testVM) received(owner *testVM, organisation string) time.Duration {
	v.local.mu.Lock()
	defer v.local.mu.Unlock()
	for _, s := range v.local.dispatcher.Shares(time.Now(), "s", owner.name) {
		if s.Organisation == organisation {
			return s.Received
		}
	}
	return 0
}

// TestNewHolderKnowsTheSharesOfAllVMs guards against work that is forgotten with its holder: after
// the loss of the holder, its successor knows what the requests of the other VMs have received.
// Each counts once.
func TestNewHolderKnowsTheSharesOfAllVMs(t *testing.T) {
	vms := startFairVMs(t)
	before := make(map[string]time.Duration)
	holder, one := loseHolder(t, vms, func(v *testVM, id string) {
		for i := range 8 {
			v.serveFor(t, id+"/"+fmt.Sprint(i), "large")
		}
		before[v.name] = v.received(v, "large")
		require.Positive(t, before[v.name])
	})
	for _, owner := range []*testVM{one, otherVM(vms, one)} {
		require.Eventually(t, func() bool { return holder.received(owner, "large") > 0 }, 5*time.Second, time.Millisecond, owner.name)
		known := holder.received(owner, "large")
		require.Greater(t, known, before[owner.name]/4)
		require.LessOrEqual(t, known, before[owner.name])
	}
}

// TestResetWithoutShares checks that a reset of an earlier build leaves what the holder has counted,
// and that a summary that comes twice counts once.
func TestResetWithoutShares(t *testing.T) {
	cfg := dispatch.DefaultConfig()
	cfg.FairShares = true
	l := NewLocalDispatcher(cfg, quarantine.DefaultConfig())
	var m updateMessage
	require.NoError(t, json.Unmarshal([]byte(`{"r":{"s":"s","t":1},"n":[],"h":[{"o":"large","w":900000}]}`), &m))
	for range 2 {
		l.addShares("s", "b", m.Shares)
	}
	l.addShares("s", "b", nil)
	list := l.dispatcher.Shares(time.Now(), "s", "b")
	require.Len(t, list, 1)
	require.InDelta(t, 0.9, list[0].Received.Seconds(), 0.1)
	encoded, err := json.Marshal(updateMessage{})
	require.NoError(t, err)
	require.NotContains(t, string(encoded), `"h"`)
	require.LessOrEqual(t, len(list), fairshare.MaxSummary)
}

// TestRefusalKeepsItsShare checks that the owner of a refused job learns of its organisation's share.
func TestRefusalKeepsItsShare(t *testing.T) {
	d := dispatch.Decision{Refusal: &dispatch.Refusal{Job: "1", Reason: dispatch.ReasonOverShare, RetryAfter: time.Second, Received: 0.5, Share: 0.1}}
	require.Equal(t, d, encodeDecision(d).decision())
}
