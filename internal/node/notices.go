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
	// noticeQueueSize bounds the queued notices. When the queue is full, a notice
	// is dropped; the next digest contains the same prefill.
	noticeQueueSize = 64
	// noticeTimeout bounds the calls that send one notice to the peers.
	noticeTimeout = 200 * time.Millisecond
	// maxNoticePeers is the maximum number of peers that a notice is sent to. With
	// more peers no notice is sent: the traffic would exceed the limit on control
	// traffic, and load reports arrive with responses often enough to be up to date
	// without notices.
	maxNoticePeers = 8
)

// noticeParams are the parameters of a notice: a digest of the fleet that includes
// a long prefill.
type noticeParams struct {
	Digest []byte `json:"digest"`
}

type noticeResult struct{}

// noticeSender notifies the peers of long prefills without waiting for the next
// regular digest.
type noticeSender struct {
	members *member.Service
	queue   chan []byte
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// startNoticeSender starts to send the queued notices to the peers, and registers
// handle for the notices received from them.
func startNoticeSender(members *member.Service, mux *peer.Mux, handle func(vm string, digest []byte)) *noticeSender {
	n := &noticeSender{members: members, queue: make(chan []byte, noticeQueueSize), done: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	peer.Register(mux, methodNotice, func(_ context.Context, from peer.Identity, p noticeParams) (noticeResult, error) {
		handle(from.VM, p.Digest)
		return noticeResult{}, nil
	})
	go n.run()
	return n
}

// enqueue queues a notice, or drops it if the queue is full. It never blocks.
func (n *noticeSender) enqueue(digest []byte) {
	select {
	case n.queue <- digest:
	default:
	}
}

func (n *noticeSender) run() {
	defer close(n.done)
	for {
		select {
		case <-n.ctx.Done():
			return
		case digest := <-n.queue:
			n.broadcast(digest)
		}
	}
}

// broadcast sends a notice to the peers concurrently. Errors are ignored: a peer
// that misses the notice reads the endpoint's load report later.
func (n *noticeSender) broadcast(digest []byte) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	peers := n.members.Pick(maxNoticePeers + 1)
	if len(peers) > maxNoticePeers {
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

func (n *noticeSender) stop() {
	n.cancel()
	<-n.done
}
