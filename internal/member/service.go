// Package member drives core/membership: it sends probes to the other entry VMs
// over the peers' connections, answers theirs, and tells the rest of the program
// who lives and which endpoints leave.
package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const (
	// tick is the resolution of the protocol's time.
	tick = 100 * time.Millisecond
	// urgentFanOut is the number of VMs that are told at once, beside the probes,
	// that an endpoint or a VM leaves.
	urgentFanOut = 4
	// syncTimeout bounds an exchange of all that is known.
	syncTimeout = 5 * time.Second
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// List reads the platform's list of VMs.
type List interface {
	VMs() (wire.VMList, error)
}

// Observer is told what the probes bring. Its methods must not block.
type Observer interface {
	// PeerVersion takes the newest configuration that the VM at the address
	// knows of.
	PeerVersion(address string, version int64)
	// PeerDigest takes a VM's account of its load.
	PeerDigest(vm string, digest []byte)
	// EndpointLeaves takes a mark that another VM set.
	EndpointLeaves(mark membership.Mark)
	// ListedLeaving takes a VM that the platform's list calls leaving.
	ListedLeaving(vm string)
	// MembersChanged is called when a VM came, went, or began to leave.
	MembersChanged()
}

// Service is one VM's part of the membership. It is safe for concurrent use.
type Service struct {
	caller   Caller
	list     List
	log      *event.Logger
	observer Observer
	// Version is the newest configuration that this VM knows of.
	version func() int64
	// Digest is this VM's account of its load.
	digest func() []byte

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	node *membership.Node
}

// Config is what a Service is made of.
type Config struct {
	// Self is this VM; Address is where it answers peers.
	Self     membership.Record
	Caller   Caller
	List     List
	Log      *event.Logger
	Observer Observer
	// Version returns the newest configuration that this VM knows of.
	Version func() int64
	// Digest returns this VM's account of its load, a few hundred bytes; nil
	// for none.
	Digest func() []byte
}

// Start begins to probe and to answer.
func Start(cfg Config, mux *peer.Mux) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		caller:   cfg.Caller,
		list:     cfg.List,
		log:      cfg.Log,
		observer: cfg.Observer,
		version:  cfg.Version,
		digest:   cfg.Digest,
		ctx:      ctx,
		cancel:   cancel,
		node:     membership.New(membership.DefaultConfig(), cfg.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	peer.Register(mux, methodProbe, s.onProbe)
	peer.Register(mux, methodRelay, s.onRelay)
	peer.Register(mux, methodSync, s.onSync)
	s.wg.Go(s.run)
	s.wg.Go(s.followList)
	return s
}

// Stop ends probing.
func (s *Service) Stop() {
	// Under the lock, so that nothing is started beside the wait.
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.do(func(now time.Time) []membership.Action { return s.node.Tick(now) })
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// do hands the node an event, carries out its actions and tells what changed.
func (s *Service) do(decide func(now time.Time) []membership.Action) {
	version, digest := s.own()
	s.mu.Lock()
	s.node.SetConfiguration(version)
	s.node.SetDigest(digest)
	actions := decide(time.Now())
	changes, marks := s.node.Changes()
	if urgent(changes, marks) {
		actions = append(actions, s.node.Gossip(urgentFanOut)...)
	}
	s.begin(actions)
	s.mu.Unlock()
	s.report(changes, marks)
}

// begin starts the actions, unless the service has stopped; the lock is held.
func (s *Service) begin(actions []membership.Action) {
	if s.ctx.Err() != nil {
		return
	}
	for _, a := range actions {
		s.wg.Go(func() { s.carryOut(a) })
	}
}

// urgent reports whether something leaves, which is told on at once by each VM
// that hears of it first.
func urgent(changes []membership.Change, marks []membership.Mark) bool {
	for _, c := range changes {
		if c.Current.Leaving && !c.Previous.Leaving && !c.New {
			return true
		}
	}
	return len(marks) > 0
}

// own is what this VM tells of itself. It is asked for outside the lock, as who
// answers may have a lock of its own.
func (s *Service) own() (version int64, digest []byte) {
	if s.digest != nil {
		digest = s.digest()
	}
	return s.version(), digest
}

// report logs what changed and tells the observer.
func (s *Service) report(changes []membership.Change, marks []membership.Mark) {
	for _, c := range changes {
		s.log.Emit(event.MemberChanged{
			Member:      c.Current.ID,
			Status:      c.Current.Status.String(),
			Leaving:     c.Current.Leaving,
			Incarnation: c.Current.Incarnation,
		})
	}
	for _, m := range marks {
		s.log.Emit(event.EndpointMarked{Endpoint: m.Endpoint, Incarnation: m.Incarnation})
		s.observer.EndpointLeaves(m)
	}
	if len(changes) > 0 {
		s.observer.MembersChanged()
	}
}

func (s *Service) carryOut(a membership.Action) {
	switch a := a.(type) {
	case membership.Probe:
		s.probe(a)
	case membership.IndirectProbe:
		s.relay(a)
	case membership.Sync:
		s.sync(a)
	}
}

func (s *Service) probe(a membership.Probe) {
	ctx, cancel := context.WithTimeout(s.ctx, a.Timeout)
	defer cancel()
	var answer membership.Message
	_, err := s.caller.Call(ctx, a.To.Address, methodProbe, a.Message, &answer)
	if err != nil || answer.From.ID != a.To.ID {
		s.failed(a.Seq)
		return
	}
	s.do(func(now time.Time) []membership.Action {
		s.node.Acked(now, a.Seq, answer)
		return nil
	})
	s.heard(answer)
}

func (s *Service) relay(a membership.IndirectProbe) {
	ctx, cancel := context.WithTimeout(s.ctx, a.Timeout)
	defer cancel()
	var answer relayed
	_, err := s.caller.Call(ctx, a.Via.Address, methodRelay, relay{a.To}, &answer)
	if err != nil || answer.Record.ID != a.To.ID {
		s.failed(a.Seq)
		return
	}
	s.do(func(now time.Time) []membership.Action {
		s.node.AckedIndirectly(now, a.Seq, answer.Record)
		return nil
	})
}

func (s *Service) failed(seq uint64) {
	s.do(func(now time.Time) []membership.Action { return s.node.Failed(now, seq) })
}

func (s *Service) sync(a membership.Sync) {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	var answer everything
	_, err := s.caller.Call(ctx, a.Peer.Address, methodSync, struct{}{}, &answer)
	s.do(func(now time.Time) []membership.Action {
		if err != nil {
			s.node.SyncFailed()
			return nil
		}
		s.node.Synced(now, answer.Records, answer.Marks)
		return nil
	})
}

// heard tells the observer what a VM said of itself.
func (s *Service) heard(msg membership.Message) {
	if s.ctx.Err() != nil {
		return
	}
	s.observer.PeerVersion(msg.From.Address, msg.Configuration)
	if len(msg.Digest) > 0 {
		s.observer.PeerDigest(msg.From.ID, msg.Digest)
	}
}

func (s *Service) onProbe(_ context.Context, from peer.Identity, msg membership.Message) (membership.Message, error) {
	if from.VM != msg.From.ID || from.Incarnation != msg.From.Incarnation {
		return membership.Message{}, errcode.New(errcode.PeerRejected, "%s speaks for %s", from.VM, msg.From.ID)
	}
	var answer membership.Message
	s.do(func(now time.Time) []membership.Action {
		answer = s.node.Receive(now, msg)
		return nil
	})
	s.heard(msg)
	return answer, nil
}

// onRelay probes a VM for another that got no answer of it.
func (s *Service) onRelay(ctx context.Context, _ peer.Identity, r relay) (relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, membership.DefaultConfig().ProbeTimeout)
	defer cancel()
	s.mu.Lock()
	msg := membership.Message{From: s.node.Self()}
	s.mu.Unlock()
	if r.To.Status != membership.StatusAlive {
		msg.Updates = []membership.Update{{Record: &r.To}}
	}
	var answer membership.Message
	if _, err := s.caller.Call(ctx, r.To.Address, methodProbe, msg, &answer); err != nil {
		return relayed{}, err
	}
	return relayed{answer.From}, nil
}

func (s *Service) onSync(context.Context, peer.Identity, struct{}) (everything, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return everything{s.node.Records(), s.node.Marks()}, nil
}
