package mirror

import (
	"context"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// serve returns the response to another VM's read. It is marked stale unless this
// VM is a fresh source, so that two VMs cut off from the store do not take each other
// for one.
func (f *Follower) serve(ctx context.Context, request readMessage) pageMessage {
	m := f.readCopy(ctx, request)
	if len(m.Kept) == request.Kept {
		m.Kept, m.KeptMs = nil, 0
	}
	if request.Packed {
		m.pack()
	}
	age, fresh := f.source()
	m.AgeMs, m.Stale = age.Milliseconds(), !fresh
	return m
}

// readCopy returns the changes that were requested, or the whole topic if they are
// not available. It waits for changes only if this VM is a fresh source, and for its
// first copy only if it is to be one.
func (f *Follower) readCopy(ctx context.Context, request readMessage) pageMessage {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, peerPollWait)
	if request.After > 0 {
		changesWait := wait
		if _, fresh := f.source(); !fresh {
			changesWait = 0
		}
		p, err := f.waitForChanges(ctx, f.requested(request), changesWait)
		if err == nil {
			return encodePage(p, false)
		}
	}
	p, ok := f.list()
	if !ok && (f.sources.Watches(f.topic) || f.sources.Relays(f.topic)) {
		f.awaitSource(ctx, wait)
		p, ok = f.list()
	}
	if !ok {
		return pageMessage{NoCopy: true}
	}
	return encodePage(p, true)
}

// awaitSource waits until this VM has its first copy and is a fresh source, and at most
// for the given time.
func (f *Follower) awaitSource(ctx context.Context, wait time.Duration) {
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, startInterval) {
		if _, fresh := f.source(); fresh && f.Revision().Version > 0 {
			return
		}
	}
}

// requested returns the revision after which changes are requested. A VM that doesn't
// know epochs compares versions only.
func (f *Follower) requested(request readMessage) provider.Revision {
	if request.AfterEpoch == nil {
		return provider.Revision{Epoch: f.Revision().Epoch, Version: request.After}
	}
	return provider.Revision{Epoch: *request.AfterEpoch, Version: request.After}
}

// RegisterHandler registers the handler for reads of the followers' topics by other VMs.
func RegisterHandler(mux *peer.Mux, followers ...*Follower) {
	peer.Register(mux, methodRead, func(ctx context.Context, _ peer.Identity, request readMessage) (pageMessage, error) {
		for _, f := range followers {
			if f.topic == request.Topic {
				return f.serve(ctx, request), nil
			}
		}
		return pageMessage{NoCopy: true}, nil
	})
}
