package node

import (
	"context"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const (
	methodNotice peer.Method = "fleet.notice"
	// noticeQueue bounds the notices that wait; beyond it they are dropped, and
	// the next digest has them.
	noticeQueue = 64
	// noticeTimeout bounds the wait for one peer.
	noticeTimeout = 200 * time.Millisecond
	// noticePeers is the most peers that are told of one prefill. With more VMs
	// than that nobody is told: the bytes would not fit the bound on control
	// traffic, and load reports ride on so many answers that they are fresh.
	noticePeers = 8
)

// noticeParams is a fleet's digest with a long prefill.
type noticeParams struct {
	Digest []byte `json:"digest"`
}

type noticeResult struct{}

// notices tells peers of long prefills at once.
type notices struct {
	members *member.Service
	queue   chan []byte
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// startNotices begins to tell the peers what send is given, and take what they
// tell.
func startNotices(members *member.Service, mux *peer.Mux, take func(vm string, digest []byte)) *notices {
	n := &notices{members: members, queue: make(chan []byte, noticeQueue), done: make(chan struct{})}
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

// tell tells a few peers, side by side. One that does not hear of it reads the
// endpoint's load report later.
func (n *notices) tell(digest []byte) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	peers := n.members.Pick(noticePeers + 1)
	if len(peers) > noticePeers {
		return
	}
	var wg sync.WaitGroup
	for _, address := range peers {
		wg.Go(func() {
			_ = n.members.Call(ctx, address, methodNotice, noticeParams{digest}, &noticeResult{})
		})
	}
	wg.Wait()
}

func (n *notices) stop() {
	n.cancel()
	<-n.done
}
