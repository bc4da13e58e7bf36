package confsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// readHead reads the head row and passes the result to the tracker.
func (f *Follower) readHead() {
	head, err := f.head()
	if err != nil {
		f.noteFailure(err)
		f.do(func(now time.Time) []configuration.Action {
			f.tracker.HeadFailed(now)
			return nil
		})
		return
	}
	f.noteSuccess()
	f.do(func(now time.Time) []configuration.Action { return f.tracker.HeadRead(now, head.Version) })
}

// head returns the Head from the head row, or the zero Head if there is no such
// row.
func (f *Follower) head() (configuration.Head, error) {
	var head configuration.Head
	row, err := f.client.Get(configuration.HeadKey)
	if err != nil || row.Version == wire.AbsentVersion {
		return head, err
	}
	return head, errors.WithStack(json.Unmarshal(row.Value, &head))
}

// fetch retrieves a version from the store or a peer and installs it.
func (f *Follower) fetch(a configuration.Fetch) {
	version, document, err := f.get(a.From)
	if err == nil {
		err = f.install(version, document)
	}
	if err == nil {
		return
	}
	f.noteFailure(err)
	f.do(func(now time.Time) []configuration.Action { return f.tracker.FetchFailed(now, a.From) })
}

func (f *Follower) get(from configuration.Source) (int64, []byte, error) {
	if from == configuration.SourceStore {
		return f.getFromStore()
	}
	return f.getFromPeer(string(from))
}

func (f *Follower) getFromStore() (int64, []byte, error) {
	head, err := f.head()
	if err != nil {
		return 0, nil, err
	}
	if head.Version == 0 {
		return 0, nil, errors.WithStack(&NoHeadError{})
	}
	document, err := f.client.GetObject(head.Object)
	if err != nil {
		return 0, nil, err
	}
	if calls.Digest(document) != head.Digest {
		return 0, nil, errors.WithStack(&TransferError{"document does not match the digest in the head"})
	}
	return head.Version, document, nil
}

func (f *Follower) getFromPeer(address string) (int64, []byte, error) {
	have := f.heldVersion()
	ctx, cancel := context.WithTimeout(f.ctx, f.cfg.FetchTimeout)
	defer cancel()
	var t transfer
	if err := f.peers.Call(ctx, address, MethodGet, getParams{have.version}, &t); err != nil {
		return 0, nil, err
	}
	if t.Version <= have.version {
		return have.version, have.document, nil
	}
	document, err := have.apply(t)
	return t.Version, document, err
}

func (f *Follower) heldVersion() held {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// install puts a document in force if its version is newer than the current one.
func (f *Follower) install(version int64, document []byte) error {
	doc, err := configuration.Decode(document)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	newer, actions := f.tracker.Loaded(time.Now(), version)
	if newer {
		f.held = f.held.next(version, document)
		f.current.Store(&Snapshot{Version: version, Document: doc})
		f.log.Emit(event.ConfigurationApplied{Version: version})
	}
	f.carryOut(actions)
	return nil
}

// announce notifies up to fanOut peers of the version in force.
func (f *Follower) announce(version int64) {
	if f.peers == nil {
		return
	}
	for _, address := range f.peers.Pick(fanOut) {
		f.wg.Go(func() { f.notify(address, version) })
	}
}

func (f *Follower) notify(address string, version int64) {
	ctx, cancel := context.WithTimeout(f.ctx, notifyTimeout)
	defer cancel()
	var result notifyResult
	err := f.peers.Call(ctx, address, MethodNotify, notifyParams{version, f.peers.Address()}, &result)
	if err == nil {
		f.HandlePeerVersion(address, result.Version)
	}
}

// onNotify handles MethodNotify.
func (f *Follower) onNotify(_ context.Context, _ peer.Identity, n notifyParams) (notifyResult, error) {
	f.HandlePeerVersion(n.Address, n.Version)
	return notifyResult{f.NewestKnown()}, nil
}

// onGet handles MethodGet. It returns NotReady while no version is in force.
func (f *Follower) onGet(_ context.Context, _ peer.Identity, g getParams) (transfer, error) {
	h := f.heldVersion()
	if h.version == 0 {
		return transfer{}, errcode.New(errcode.NotReady, "no configuration is in force yet")
	}
	return h.transfer(g.Have), nil
}

// noteFailure logs the first of consecutive failures, unless the follower was
// stopped.
func (f *Follower) noteFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing && f.ctx.Err() == nil {
		f.log.Emit(event.ConfigurationUnreadable{Reason: err.Error()})
	}
	f.failing = true
}

func (f *Follower) noteSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = false
}
