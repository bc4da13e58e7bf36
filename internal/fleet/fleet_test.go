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

func testFleet(t *testing.T) (*Fleet, *confsync.Snapshot) {
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

func ids(views []placement.View) []string {
	list := make([]string, 0, len(views))
	for _, v := range views {
		list = append(list, v.ID)
	}
	return list
}

func TestDeadAndLeavingEndpointsGetNothing(t *testing.T) {
	f, snap := testFleet(t)
	require.Equal(t, []string{"a", "b"}, ids(f.Views(snap, "pool", nil)))
	f.Failed("a")
	require.Equal(t, []string{"b"}, ids(f.Views(snap, "pool", nil)))
	f.note("b", snap.Endpoints["b"], wire.LoadReport{Leaving: true}, nil)
	require.Empty(t, f.Views(snap, "pool", nil))
	f.note("a", snap.Endpoints["a"], wire.LoadReport{}, nil)
	require.Equal(t, []string{"a"}, ids(f.Views(snap, "pool", nil)))
	f.note("a", snap.Endpoints["a"], wire.LoadReport{}, errors.New("silent"))
	require.Empty(t, f.Views(snap, "pool", nil))
}

func TestARestartedEndpointIsLearntAnew(t *testing.T) {
	f, snap := testFleet(t)
	e := snap.Endpoints["a"]
	f.note("a", e, wire.LoadReport{Incarnation: "1"}, nil)
	f.SentPrompt("a", "r", placement.Prompt{Tokens: 5000}, wire.PriorityHigh)
	require.Positive(t, f.Views(snap, "pool", nil)[0].Held)
	f.note("a", e, wire.LoadReport{Incarnation: "2", TotalTokens: 400_000, FreeTokens: 400_000}, nil)
	require.Zero(t, f.Views(snap, "pool", nil)[0].Held)
	f.Ended("a", "r")
	require.Zero(t, f.Views(snap, "pool", nil)[0].Held)
}

func TestRefusalsAreTypedAndSayWhenToComeBack(t *testing.T) {
	f, snap := testFleet(t)
	ask := Ask{
		Request: "r", Organisation: "framers", Service: "pool",
		Deadline: time.Now().Add(time.Minute),
		Prompt:   placement.Prompt{Tokens: 100_000, MaxTokens: 10},
	}
	require.NoError(t, f.Admit(snap, ask))
	ask.Deadline = time.Now().Add(time.Second)
	err := f.Admit(snap, ask)
	require.True(t, errcode.Is(err, errcode.DeadlineUnreachable), "%v", err)
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	require.Positive(t, errcode.From(err).RetryAfter)
}

// TestLongPromptsThatWaitHereCount admits long prompts that are not sent yet.
func TestLongPromptsThatWaitHereCount(t *testing.T) {
	f, snap := testFleet(t)
	ask := Ask{
		Organisation: "framers", Service: "pool",
		Deadline: time.Now().Add(30 * time.Second),
		Prompt:   placement.Prompt{Tokens: 200_000, MaxTokens: 10, Priority: wire.PriorityLow},
	}
	taken := 0
	for _, request := range []string{"r1", "r2", "r3", "r4", "r5"} {
		ask.Request = request
		if f.Admit(snap, ask) == nil {
			taken++
		}
	}
	require.Positive(t, taken)
	require.Less(t, taken, 5)
	f.Done("r1", 0)
	require.Len(t, f.admitted, taken-1)
}

// TestPeersHearOfWhatWasSent hands one VM's digest and notice to another.
func TestPeersHearOfWhatWasSent(t *testing.T) {
	f, snap := testFleet(t)
	peer, _ := testFleet(t)
	peer.Views(snap, "pool", nil)
	var notice DigestEntry
	f.SetNotify(func(e DigestEntry) { notice = e })

	f.SentPrompt("a", "long", placement.Prompt{Tokens: noticeTokens}, wire.PriorityHigh)
	require.EqualValues(t, noticeTokens, notice.Tokens[wire.PriorityHigh])
	f.SentPrompt("a", "short", placement.Prompt{Tokens: 1000}, wire.PriorityHigh)
	d := f.TakeDigest(10)
	require.Equal(t, []DigestEntry{{Endpoint: "a", Tokens: [2]int64{1000, 0}, Held: 1000}}, d.Entries)
	require.Empty(t, f.TakeDigest(10).Entries)

	d.Entries = append(d.Entries, notice, DigestEntry{Endpoint: "unknown", Held: 1})
	peer.PeerDigest(d)
	views := peer.Views(snap, "pool", nil)
	require.InDelta(t, noticeTokens+1000, views[0].Queued[wire.PriorityHigh], 500)
	require.EqualValues(t, noticeTokens+1000, views[0].Held)
	require.Zero(t, views[1].Held)
}
