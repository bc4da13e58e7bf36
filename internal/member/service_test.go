package member

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const waitLimit = 10 * time.Second

// fixedList is a List with fixed contents.
type fixedList struct{ list wire.VMList }

func (l fixedList) VMs() (wire.VMList, error) { return l.list, nil }

// recorder is an Observer that records the marks.
type recorder struct{ marks chan membership.Mark }

func (r recorder) PeerVersion(string, int64)           {}
func (r recorder) PeerDigest(string, []byte)           {}
func (r recorder) EndpointMarked(mark membership.Mark) { r.marks <- mark }
func (r recorder) NoteChanged(membership.Note)         {}
func (r recorder) ListedLeaving(string)                {}
func (r recorder) MembersChanged()                     {}

// testVM is a Service with its peer server and client on the loopback interface.
type testVM struct {
	*Service
	recorder
	address string
	client  *peer.Client
}

func startVM(t *testing.T, id string, list wire.VMList) *testVM {
	t.Helper()
	log, err := event.New(io.Discard, "json", "error", id)
	require.NoError(t, err)
	cfg := peer.Config{Self: peer.Identity{VM: id, Incarnation: 1}, Keys: []string{"0123456789abcdef"}}
	mux := peer.NewMux()
	server, err := peer.Listen("127.0.0.1:0", cfg, mux, log, metrics.NewRegistry())
	require.NoError(t, err)
	client, err := peer.NewClient(cfg, mux, log, metrics.NewRegistry())
	require.NoError(t, err)
	vm := &testVM{recorder: recorder{make(chan membership.Mark, 8)}, address: server.Addr(), client: client}
	vm.Service = Start(Config{
		Self:     membership.Record{ID: id, Address: server.Addr(), Incarnation: 1},
		Caller:   client,
		List:     fixedList{list},
		Log:      log,
		Observer: vm.recorder,
		Version:  func() int64 { return 0 },
	}, mux)
	t.Cleanup(func() {
		vm.Stop()
		client.Close()
		server.Close()
	})
	return vm
}

func TestMarksAndLeavingReachPeers(t *testing.T) {
	a := startVM(t, "entry-1", wire.VMList{})
	b := startVM(t, "entry-2", wire.VMList{VMs: []wire.VM{{ID: "entry-1", Peer: a.address}}})
	require.Eventually(t, func() bool { return a.Count() == 1 && b.Count() == 1 }, waitLimit, time.Millisecond)
	mark := membership.Mark{Endpoint: "scribe-1", Incarnation: "x"}
	a.MarkEndpoint(mark)
	require.Equal(t, mark, <-b.marks)
	a.Leave()
	require.Eventually(t, func() bool { return len(b.Live()) == 1 }, waitLimit, time.Millisecond)
	require.Equal(t, 1, b.Count(), "a leaving VM still counts as alive")
}

// TestProbeInAnotherNameIsRejected guards against a VM that has the peer key but
// sends the record of another VM as its own.
func TestProbeInAnotherNameIsRejected(t *testing.T) {
	a := startVM(t, "entry-1", wire.VMList{})
	b := startVM(t, "entry-2", wire.VMList{})
	msg := membership.Message{From: membership.Record{ID: "entry-3", Address: b.address, Incarnation: 1}}
	var reply membership.Message
	_, err := b.client.Call(context.Background(), a.address, methodProbe, msg, &reply)
	require.True(t, errcode.Is(err, errcode.PeerRejected), "%v", err)
	require.Zero(t, a.Count())
}
