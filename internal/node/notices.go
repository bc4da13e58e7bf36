package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// methodNotice tells a peer of a long prefill.
const methodNotice peer.Method = "fleet.notice"

const (
	// noticePeers is the number of VMs that are told of one prefill, and
	// noticesPerSecond bounds the prefills told, so that the bytes fit the bound
	// on control traffic. What is not told, the endpoint's next report says.
	noticePeers      = 4
	noticesPerSecond = 2
	noticeTimeout    = 500 * time.Millisecond
	noticeQueue      = 16
)

// notices tells peers of long prefills as soon as they are sent.
type notices struct {
	members *member.Service
	limit   *rate.Limiter
	queue   chan fleet.Digest
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// startNotices begins to tell peers of the fleet's long prefills, and to take
// theirs.
func startNotices(f *fleet.Fleet, members *member.Service, mux *peer.Mux) *notices {
	ctx, cancel := context.WithCancel(context.Background())
	n := &notices{
		members: members,
		limit:   rate.NewLimiter(noticesPerSecond, noticesPerSecond),
		queue:   make(chan fleet.Digest, noticeQueue),
		ctx:     ctx,
		cancel:  cancel,
	}
	peer.Register(mux, methodNotice, func(_ context.Context, _ peer.Identity, d fleet.Digest) (struct{}, error) {
		f.PeerDigest(d)
		return struct{}{}, nil
	})
	f.SetNotify(n.put)
	n.wg.Go(n.run)
	return n
}

// put takes a prefill; it never waits.
func (n *notices) put(e fleet.DigestEntry) {
	if !n.limit.Allow() {
		return
	}
	select {
	case n.queue <- fleet.Digest{AtMs: time.Now().UnixMilli(), Entries: []fleet.DigestEntry{e}}:
	default:
	}
}

func (n *notices) run() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case d := <-n.queue:
			n.tell(d)
		}
	}
}

// tell sends a notice to a few peers, side by side.
func (n *notices) tell(d fleet.Digest) {
	ctx, cancel := context.WithTimeout(n.ctx, noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range n.members.Pick(noticePeers) {
		wg.Go(func() {
			var done struct{}
			// A lost notice is made good by the endpoint's own report.
			_ = n.members.Call(ctx, address, methodNotice, d, &done)
		})
	}
	wg.Wait()
}

// stop ends it.
func (n *notices) stop() {
	n.cancel()
	n.wg.Wait()
}
