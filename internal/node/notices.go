package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

const (
	methodNotice peer.Method = "fleet.notice"
	// noticeQueue bounds the notices that wait; beyond it they are dropped, and
	// the next digest has them.
	noticeQueue = 64
	// noticeTimeout bounds the wait for one peer.
	noticeTimeout = 200 * time.Millisecond
	// noticePeers is the most peers that are told at once.
	noticePeers = 8
)

// noticeParams is a fleet's digest with a long prefill.
type noticeParams struct {
	Digest []byte `json:"digest"`
}

type noticeResult struct{}

// notices tells the peers of the region of long prefills at once.
type notices struct {
	self    string
	members reserve.Members
	peers   *peer.Client
	queue   chan []byte
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// startNotices begins to tell the peers what send is given, and take what they
// tell.
func startNotices(self string, members reserve.Members, peers *peer.Client, mux *peer.Mux, take func(vm string, digest []byte)) *notices {
	n := &notices{self: self, members: members, peers: peers, queue: make(chan []byte, noticeQueue), done: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	peer.Register(mux, methodNotice, func(_ context.Context, from peer.Identity, p noticeParams) (noticeResult, error) {
		take(from.VM, p.Digest)
		return noticeResult{}, nil
	})
	go n.run()
	return n
}

// send queues a notice; it never waits.
func (n *notices) send(digest []byte) {
	select {
	case n.queue <- digest:
	default:
	}
}

func (n *notices) run() {
	defer close(n.done)
	for {
		select {
		case <-n.ctx.Done():
			return
		case digest := <-n.queue:
			n.tell(digest)
		}
	}
}

// tell tells every live peer once. One that does not hear of it reads the
// endpoint's load report later.
func (n *notices) tell(digest []byte) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(noticePeers)
	for _, m := range n.members.Live() {
		if m.VM == n.self {
			continue
		}
		group.Go(func() error {
			_, err := n.peers.Call(ctx, m.Address, methodNotice, noticeParams{digest}, &noticeResult{})
			return err
		})
	}
	_ = group.Wait()
}

func (n *notices) stop() {
	n.cancel()
	<-n.done
}
