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

// TestPeersHearOfWhatWasSent hands one VM's digests and notices to another, some
// lost, repeated or out of order.
func TestPeersHearOfWhatWasSent(t *testing.T) {
	f, snap := testFleet(t)
	peer, _ := testFleet(t)
	// So slow an endpoint computes nothing while the test runs.
	slow := snap.Endpoints["a"]
	slow.PrefillRate = 1
	snap.Endpoints["a"] = slow
	peer.Views(snap, "pool", nil)
	var notice []byte
	f.SetNotify(func(digest []byte) { notice = digest })
	require.Nil(t, f.Digest())

	f.SentPrompt("a", "first", placement.Prompt{Tokens: 500}, wire.PriorityHigh)
	peer.PeerDigest("vm", f.Digest())
	require.Zero(t, peer.Views(snap, "pool", nil)[0].Held, "a peer never heard of is counted from here on")
	require.Nil(t, notice)

	f.SentPrompt("a", "lost", placement.Prompt{Tokens: noticeTokens - 1}, wire.PriorityHigh)
	old := f.Digest()
	time.Sleep(2 * time.Millisecond)
	f.SentPrompt("a", "long", placement.Prompt{Tokens: 8 * noticeTokens}, wire.PriorityHigh)
	require.NotNil(t, notice)
	for _, digest := range [][]byte{notice, notice, old, []byte("not a digest"), f.Digest()} {
		peer.PeerDigest("vm", digest)
	}
	views := peer.Views(snap, "pool", nil)
	require.InDelta(t, 9*noticeTokens-1, views[0].Queued[wire.PriorityHigh], 500)
	require.EqualValues(t, 9*noticeTokens-1, views[0].Held)
	require.Zero(t, views[1].Held)

	f.Ended("a", "long")
	time.Sleep(2 * time.Millisecond)
	peer.PeerDigest("vm", f.Digest())
	require.EqualValues(t, noticeTokens-1, peer.Views(snap, "pool", nil)[0].Held)
}

// TestADigestStaysSmall sends to far more endpoints than one digest holds.
func TestADigestStaysSmall(t *testing.T) {
	f, _ := testFleet(t)
	for _, id := range names("an-endpoint-with-a-long-name-", 100) {
		f.SentPrompt(id, "r", placement.Prompt{Tokens: 100_000}, wire.PriorityHigh)
	}
	require.Less(t, len(f.Digest()), 2048)
}

// TestNoticesKeepToTheirRate sends far more prompts than peers may be told of;
// short ones leave a part of the rate to long ones.
func TestNoticesKeepToTheirRate(t *testing.T) {
	f, _ := testFleet(t)
	told := 0
	f.SetNotify(func([]byte) { told++ })
	f.notices.SetLimit(0)
	f.shortNotices.SetLimit(0)
	for range 100 {
		f.SentPrompt("a", "short", placement.Prompt{Tokens: noticeTokens}, wire.PriorityHigh)
	}
	require.Equal(t, shortNoticesPerSecond, told)
	for range 100 {
		f.SentPrompt("a", "long", placement.Prompt{Tokens: longNotice}, wire.PriorityHigh)
	}
	require.Equal(t, noticesPerSecond, told)
}

// TestGoneVMsAreForgotten keeps VMs that are replaced all day from adding up.
func TestGoneVMsAreForgotten(t *testing.T) {
	f, snap := testFleet(t)
	f.Views(snap, "pool", nil)
	for _, vm := range names("vm-", 50) {
		d := Digest{AtMs: 1, Entries: []DigestEntry{{Endpoint: "a", Held: 1}}}
		f.PeerDigest(vm, d.encode())
	}
	require.Len(t, f.heardAt, 50)
	f.SetMembers("vm-1", []string{"vm-1", "vm-2"})
	require.Len(t, f.heardAt, 2)
	require.Len(t, f.states["a"].peers, 2)
}
