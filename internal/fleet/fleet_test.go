package fleet

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

func newTestFleet(t *testing.T) (*Fleet, *confsync.Snapshot) {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	snap := &confsync.Snapshot{Version: 1, Document: &configuration.Document{
		Organisations: map[string]configuration.Organisation{"framers": {Weight: 1}},
		Services:      map[string]configuration.Service{"pool": {Kind: configuration.KindModel}},
		Endpoints: map[string]configuration.Endpoint{
			"a": {Service: "pool", MemoryTokens: 400_000, PrefillRate: 10_000},
			"b": {Service: "pool", MemoryTokens: 400_000, PrefillRate: 10_000},
			"c": {Service: "pool", MemoryTokens: 400_000, PrefillRate: 10_000, Leaving: true},
			"d": {Service: "other", MemoryTokens: 400_000, PrefillRate: 10_000},
		},
	}}
	return New(nil, nil, log), snap
}

func viewIDs(views []placement.View) []string {
	list := make([]string, 0, len(views))
	for _, v := range views {
		list = append(list, v.ID)
	}
	return list
}

func TestSilentAndLeavingEndpointsAreNotOffered(t *testing.T) {
	f, snap := newTestFleet(t)
	require.Equal(t, []string{"a", "b"}, viewIDs(f.Views(snap, "pool", nil)))
	f.Failed("a")
	require.Equal(t, []string{"b"}, viewIDs(f.Views(snap, "pool", nil)))
	f.applyPoll("b", snap.Endpoints["b"], wire.LoadReport{Leaving: true}, nil)
	require.Empty(t, f.Views(snap, "pool", nil))
	f.applyPoll("a", snap.Endpoints["a"], wire.LoadReport{}, nil)
	require.Equal(t, []string{"a"}, viewIDs(f.Views(snap, "pool", nil)))
	f.applyPoll("a", snap.Endpoints["a"], wire.LoadReport{}, errors.New("silent"))
	require.Empty(t, f.Views(snap, "pool", nil))
}

func TestEndpointRestartResetsModel(t *testing.T) {
	f, snap := newTestFleet(t)
	e := snap.Endpoints["a"]
	f.applyPoll("a", e, wire.LoadReport{Incarnation: "1"}, nil)
	f.SentPrompt("a", "r", placement.Prompt{Tokens: 5000}, wire.PriorityHigh)
	require.Positive(t, f.Views(snap, "pool", nil)[0].Held)
	f.applyPoll("a", e, wire.LoadReport{Incarnation: "2", TotalTokens: 400_000, FreeTokens: 400_000}, nil)
	require.Zero(t, f.Views(snap, "pool", nil)[0].Held)
	f.Ended("a", "r")
	require.Zero(t, f.Views(snap, "pool", nil)[0].Held)
}

// TestReportsWithAnswersReplacePolls checks that a report with an answer is applied and
// postpones the next poll, that one older than the last report is ignored, and that it
// does not make a failed endpoint available.
func TestReportsWithAnswersReplacePolls(t *testing.T) {
	f, snap := newTestFleet(t)
	e := snap.Endpoints["a"]
	f.applyPoll("a", e, wire.LoadReport{AtMs: 1000, Incarnation: "1"}, nil)
	f.endpointsInScope = maxCacheEventEndpoints + 1
	f.Reported("a", e, wire.LoadReport{AtMs: 2000, Incarnation: "1", Leaving: true})
	require.Equal(t, []string{"b"}, viewIDs(f.Views(snap, "pool", nil)))
	require.WithinDuration(t, time.Now(), f.states["a"].polledAt, time.Minute)
	f.Reported("a", e, wire.LoadReport{AtMs: 1500, Incarnation: "1"})
	require.Equal(t, []string{"b"}, viewIDs(f.Views(snap, "pool", nil)))
	f.Failed("b")
	f.Reported("b", snap.Endpoints["b"], wire.LoadReport{AtMs: 3000})
	require.Empty(t, f.Views(snap, "pool", nil))
}

func TestRefusalHasErrorCodeAndRetryAfter(t *testing.T) {
	f, snap := newTestFleet(t)
	admission := AdmissionRequest{
		Request: "r", Organisation: "framers", Service: "pool",
		Deadline: time.Now().Add(time.Minute),
		Prompt:   placement.Prompt{Tokens: 100_000, MaxTokens: 10},
	}
	require.NoError(t, f.Admit(snap, admission))
	admission.Deadline = time.Now().Add(time.Second)
	err := f.Admit(snap, admission)
	require.True(t, errcode.Is(err, errcode.DeadlineUnreachable), "%v", err)
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	require.Positive(t, errcode.From(err).RetryAfter)
}

// TestAdmissionCountsUnsentPrompts checks that admitted low-priority prompts that have
// not been sent count towards the backlog of later ones.
func TestAdmissionCountsUnsentPrompts(t *testing.T) {
	f, snap := newTestFleet(t)
	admission := AdmissionRequest{
		Organisation: "framers", Service: "pool",
		Deadline: time.Now().Add(30 * time.Second),
		Prompt:   placement.Prompt{Tokens: 200_000, MaxTokens: 10, Priority: wire.PriorityLow},
	}
	admitted := 0
	for _, request := range []string{"r1", "r2", "r3", "r4", "r5"} {
		admission.Request = request
		if f.Admit(snap, admission) == nil {
			admitted++
		}
	}
	require.Positive(t, admitted)
	require.Less(t, admitted, 5)
	f.Done("r1", 0)
	require.Len(t, f.admitted, admitted-1)
}

// TestDigestsUpdatePeers applies the digests and notices of one VM on another, some of
// them lost, repeated or out of order.
func TestDigestsUpdatePeers(t *testing.T) {
	f, snap := newTestFleet(t)
	peer, _ := newTestFleet(t)
	// At one token per second, practically no prefill completes during the test.
	slow := snap.Endpoints["a"]
	slow.PrefillRate = 1
	snap.Endpoints["a"] = slow
	peer.Views(snap, "pool", nil)
	var notice []byte
	f.SetNotify(func(digest []byte) { notice = digest })
	require.Nil(t, f.Digest())

	f.SentPrompt("a", "first", placement.Prompt{Tokens: 500}, wire.PriorityHigh)
	peer.ApplyPeerDigest("vm", f.Digest())
	require.Zero(t, peer.Views(snap, "pool", nil)[0].Held, "the first entry of a peer is the baseline")
	require.Nil(t, notice)

	f.SentPrompt("a", "lost", placement.Prompt{Tokens: minNoticeTokens - 1}, wire.PriorityHigh)
	old := f.Digest()
	time.Sleep(2 * time.Millisecond)
	f.SentPrompt("a", "long", placement.Prompt{Tokens: 8 * minNoticeTokens}, wire.PriorityHigh)
	require.NotNil(t, notice)
	for _, digest := range [][]byte{notice, notice, old, []byte("not a digest"), f.Digest()} {
		peer.ApplyPeerDigest("vm", digest)
	}
	views := peer.Views(snap, "pool", nil)
	require.InDelta(t, 9*minNoticeTokens-1, views[0].Queued[wire.PriorityHigh], 500)
	require.EqualValues(t, 9*minNoticeTokens-1, views[0].Held)
	require.Zero(t, views[1].Held)

	f.Ended("a", "long")
	time.Sleep(2 * time.Millisecond)
	peer.ApplyPeerDigest("vm", f.Digest())
	require.EqualValues(t, minNoticeTokens-1, peer.Views(snap, "pool", nil)[0].Held)
}

// TestRestartedPeerIsANewBaseline lets a peer restart and send more than it had before
// within one interval of digests: its new totals are no new work.
func TestRestartedPeerIsANewBaseline(t *testing.T) {
	peer, snap := newTestFleet(t)
	slow := snap.Endpoints["a"]
	slow.PrefillRate = 1
	snap.Endpoints["a"] = slow
	peer.Views(snap, "pool", nil)
	send := func(at, started, tokens int64) {
		d := Digest{AtMs: at, StartedMs: started, Entries: []DigestEntry{{Endpoint: "a", Tokens: [2]int64{tokens, 0}, Held: tokens}}}
		peer.ApplyPeerDigest("vm", d.encode())
	}
	send(1, 1, 1000)
	send(2, 1, 3000)
	require.EqualValues(t, 2000, peer.Views(snap, "pool", nil)[0].Held)
	send(3, 2, 50000)
	require.EqualValues(t, 2000, peer.Views(snap, "pool", nil)[0].Held, "the first entry after the restart is the baseline")
	send(4, 2, 50500)
	require.EqualValues(t, 2500, peer.Views(snap, "pool", nil)[0].Held)
}

// TestDigestSizeIsBounded sends to far more endpoints than fit into one digest.
func TestDigestSizeIsBounded(t *testing.T) {
	f, _ := newTestFleet(t)
	for _, id := range numberedNames("an-endpoint-with-a-long-name-", 100) {
		f.SentPrompt(id, "r", placement.Prompt{Tokens: 100_000}, wire.PriorityHigh)
	}
	require.Less(t, len(f.Digest()), 2048)
}

// TestNoticeRateIsLimited sends far more prompts than the rate of notices permits.
// Notices of short prefills must leave a part of the rate to those of long ones.
func TestNoticeRateIsLimited(t *testing.T) {
	f, _ := newTestFleet(t)
	notifications := 0
	f.SetNotify(func([]byte) { notifications++ })
	f.notices.SetLimit(0)
	f.shortNotices.SetLimit(0)
	for range 100 {
		f.SentPrompt("a", "short", placement.Prompt{Tokens: minNoticeTokens}, wire.PriorityHigh)
	}
	require.Equal(t, shortNoticesPerSecond, notifications)
	for range 100 {
		f.SentPrompt("a", "long", placement.Prompt{Tokens: longNoticeTokens}, wire.PriorityHigh)
	}
	require.Equal(t, noticesPerSecond, notifications)
}

// TestDepartedPeersAreRemoved guards against a memory leak: without the removal, the
// state of VMs that are continually replaced accumulates.
func TestDepartedPeersAreRemoved(t *testing.T) {
	f, snap := newTestFleet(t)
	f.Views(snap, "pool", nil)
	for _, vm := range numberedNames("vm-", 50) {
		d := Digest{AtMs: 1, Entries: []DigestEntry{{Endpoint: "a", Held: 1}}}
		f.ApplyPeerDigest(vm, d.encode())
	}
	require.Len(t, f.lastDigestMs, 50)
	f.SetMembers("vm-1", []string{"vm-1", "vm-2"})
	require.Len(t, f.lastDigestMs, 2)
	require.Len(t, f.states["a"].peerTotals, 2)
}
