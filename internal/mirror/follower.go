package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

const (
	// storeWait is the longest that the store holds a call without news. A call
	// that goes unanswered is given up soon after: a store that is silent to the
	// VMs that watch it must be noticed, and asked by the others, well within the
	// time in which a configuration comes into force.
	storeWait = 700 * time.Millisecond
	// storeSlack is added for the answer to such a call.
	storeSlack = 500 * time.Millisecond
	// peerWait and peerSlack are the same for calls to other VMs.
	peerWait  = 800 * time.Millisecond
	peerSlack = 300 * time.Millisecond
	// firstPause and longestPause are between two tries while the store fails.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// idlePause is between two looks whether there is something to follow.
	idlePause = 100 * time.Millisecond
)

// Sources says whom to follow.
type Sources interface {
	// Watches reports whether this VM follows the store for the others.
	Watches(topic provider.Topic) bool
	// Peers lists addresses of other VMs, those that follow the store first.
	Peers(topic provider.Topic) []string
}

// Peers calls the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Follower keeps one topic's Mirror fresh.
type Follower struct {
	*Mirror
	topic   provider.Topic
	store   provider.Store
	peers   Peers
	sources Sources
	log     *event.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// answers says whether the store answers this VM.
	answers bool
	// fromPeer says that another VM that reaches the store answers this one.
	fromPeer bool
}

// Start begins to follow the topic.
func Start(topic provider.Topic, observer Observer, store provider.Store, peers Peers, sources Sources, log *event.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		Mirror: New(observer), topic: topic, store: store, peers: peers,
		sources: sources, log: log, cancel: cancel,
	}
	f.done.Go(func() { f.followStore(ctx) })
	f.done.Go(func() { f.followPeers(ctx) })
	return f
}

// Stop ends following.
func (f *Follower) Stop() {
	f.cancel()
	f.done.Wait()
}

// followStore follows the store while this VM is to do so, or has no other
// source.
func (f *Follower) followStore(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	for ctx.Err() == nil {
		if !f.needsStore() {
			f.setAnswers(ctx, false, nil)
			sleep(ctx, idlePause)
			continue
		}
		err := f.readStore(ctx)
		if ctx.Err() != nil {
			return
		}
		f.setAnswers(ctx, err == nil, err)
		if err == nil {
			pause.Reset()
			continue
		}
		sleep(ctx, pause.NextBackOff()+rand.N(firstPause))
	}
}

// needsStore reports whether this VM follows the store itself.
func (f *Follower) needsStore() bool {
	if f.sources.Watches(f.topic) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.fromPeer
}

// readStore makes one call to the store.
func (f *Follower) readStore(ctx context.Context) error {
	version := f.Version()
	if version == 0 {
		return f.listStore(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, storeWait+storeSlack)
	defer cancel()
	p, err := f.store.Follow(limited, f.topic, version, storeWait)
	var expired *provider.ExpiredError
	if errors.As(err, &expired) {
		f.log.Emit(event.HistoryExpired{Topic: f.topic.String(), Version: version})
		return f.listStore(ctx)
	}
	if err != nil {
		return err
	}
	f.setAnswers(ctx, true, nil)
	f.followed(p)
	return nil
}

func (f *Follower) listStore(ctx context.Context) error {
	p, err := f.store.List(ctx, f.topic)
	if err != nil {
		return err
	}
	f.setAnswers(ctx, true, nil)
	f.listed(p)
	return nil
}

// setAnswers notes whether the store answers this VM.
func (f *Follower) setAnswers(ctx context.Context, answers bool, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	was := f.answers
	f.answers = answers
	stale := !answers && !f.fromPeer
	f.mu.Unlock()
	switch {
	case answers && !was:
		f.log.Emit(event.StoreRegained{Topic: f.topic.String(), Version: f.Version()})
	case !answers && was:
		// Those that wait for news from here must look elsewhere.
		f.wake()
	}
	if !answers && was && err != nil {
		f.log.Emit(event.StoreLost{Topic: f.topic.String(), Version: f.Version(), Reason: err.Error()})
	}
	f.setStale(stale, time.Now())
}

// followPeers follows another VM while this one is not to follow the store, or
// the store does not answer it.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if f.storeAnswers() && f.sources.Watches(f.topic) {
			sleep(ctx, idlePause)
			continue
		}
		fresh := f.readPeers(ctx)
		f.setFromPeer(fresh)
		if !fresh {
			sleep(ctx, firstPause+rand.N(firstPause))
		}
	}
}

func (f *Follower) storeAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers
}

// setFromPeer notes whether another VM stands in for the store.
func (f *Follower) setFromPeer(fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fromPeer = fresh
}

// readPeers asks the other VMs, one after the other, until one answers that
// reaches the store. What the others know is taken in, too.
func (f *Follower) readPeers(ctx context.Context) bool {
	for _, address := range f.sources.Peers(f.topic) {
		if ctx.Err() != nil {
			return false
		}
		if f.readPeer(ctx, address) {
			return true
		}
	}
	return false
}

// Pull takes in what a VM knows that is said to know more.
func (f *Follower) Pull(ctx context.Context, address string) { f.ask(ctx, address, 0) }

// readPeer follows one VM and reports whether it reaches the store.
func (f *Follower) readPeer(ctx context.Context, address string) bool {
	m, ok := f.ask(ctx, address, peerWait)
	if !ok || m.Stale {
		return false
	}
	f.setStale(false, m.restored(time.Now()))
	return true
}

// ask makes one call to a VM.
func (f *Follower) ask(ctx context.Context, address string, wait time.Duration) (pageMessage, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerSlack)
	defer cancel()
	var m pageMessage
	ask := readMessage{Topic: f.topic, After: f.Version(), WaitMs: wait.Milliseconds()}
	if _, err := f.peers.Call(ctx, address, methodRead, ask, &m); err != nil || m.Unknown {
		return m, false
	}
	if m.Whole {
		f.listed(m.page())
	} else {
		f.followed(m.page())
	}
	return m, true
}

// answer tells another VM of the topic. Only what the store itself tells this VM
// counts as fresh, so that two VMs without it don't take each other for it.
func (f *Follower) answer(ctx context.Context, ask readMessage) pageMessage {
	m := f.content(ctx, ask)
	m.Stale = !f.storeAnswers()
	return m
}

func (f *Follower) content(ctx context.Context, ask readMessage) pageMessage {
	wait := min(time.Duration(ask.WaitMs)*time.Millisecond, peerWait)
	if !f.storeAnswers() {
		wait = 0
	}
	if ask.After > 0 {
		p, err := f.follow(ctx, ask.After, wait)
		if err == nil {
			return encodePage(p, false)
		}
	}
	p, ok := f.list()
	if !ok {
		return pageMessage{Unknown: true}
	}
	return encodePage(p, true)
}

// Answer registers the answers to the other VMs' questions about the topics.
func Answer(mux *peer.Mux, followers ...*Follower) {
	peer.Register(mux, methodRead, func(ctx context.Context, _ peer.Identity, ask readMessage) (pageMessage, error) {
		for _, f := range followers {
			if f.topic == ask.Topic {
				return f.answer(ctx, ask), nil
			}
		}
		return pageMessage{Unknown: true}, nil
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
