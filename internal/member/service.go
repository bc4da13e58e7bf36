// Package member runs the protocol of core/membership: it sends probes to the other
// entry VMs over the peer connections, answers theirs, and reports to the rest of
// the program which VMs are alive and which endpoints are leaving.
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
	// tickInterval is the time between two calls of Node.Tick and thus the resolution
	// of the protocol's timers.
	tickInterval = 100 * time.Millisecond
	// urgentFanOut is the number of VMs that are probed immediately, in addition to the
	// regular probes, when an endpoint or a VM is leaving, or a note has changed.
	urgentFanOut = 4
	// syncTimeout bounds an exchange of the full state.
	syncTimeout = 5 * time.Second
)

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// List reads the platform's list of VMs.
type List interface {
	VMs() (wire.VMList, error)
}

// Observer receives membership changes and the peers' reports. Its methods must
// not block.
type Observer interface {
	// PeerVersion receives the newest configuration version that the VM at the
	// address has seen.
	PeerVersion(address string, version int64)
	// PeerDigest receives the digest of a VM.
	PeerDigest(vm string, digest []byte)
	// EndpointMarked receives each new mark, set by this VM or another.
	EndpointMarked(mark membership.Mark)
	// NoteChanged receives each note that holds in place of an earlier one with its
	// key, written by this VM or another.
	NoteChanged(note membership.Note)
	// ListedLeaving receives a VM that the platform's list shows as leaving.
	ListedLeaving(vm string)
	// MembersChanged is called after the record of another VM was added or changed,
	// for instance its status or whether it is leaving.
	MembersChanged()
}

// Service runs the membership protocol for one VM. It is safe for concurrent use.
type Service struct {
	caller   Caller
	list     List
	log      *event.Logger
	observer Observer
	// version returns the newest configuration version that this VM has seen.
	version func() int64
	// digest returns this VM's digest; the function may be nil.
	digest func() []byte

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	node *membership.Node
}

// Config holds the dependencies of a Service.
type Config struct {
	// Self is this VM's record; its Address is where peers reach it.
	Self     membership.Record
	Caller   Caller
	List     List
	Log      *event.Logger
	Observer Observer
	// Version returns the newest configuration version that this VM has seen.
	Version func() int64
	// Digest returns a summary of this VM's state, such as its load, in at most a
	// few hundred bytes. The function may be nil.
	Digest func() []byte
}

// Start registers the protocol's methods with mux and starts to probe the other VMs.
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
	peer.Register(mux, methodProbe, s.handleProbe)
	peer.Register(mux, methodRelay, s.handleRelay)
	peer.Register(mux, methodSync, s.handleSync)
	s.wg.Go(s.run)
	s.wg.Go(s.pollList)
	return s
}

// Stop ends probing and waits for the requests in flight.
func (s *Service) Stop() {
	// Cancelling under the lock ensures that no action is started once the wait
	// has begun.
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

// run calls Node.Tick at intervals until the service stops.
func (s *Service) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.updateNode(func(now time.Time) []membership.Action { return s.node.Tick(now) })
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateNode calls update with the lock held, starts the actions that it returns and
// reports the resulting changes.
func (s *Service) updateNode(update func(now time.Time) []membership.Action) {
	version, digest := s.localState()
	s.mu.Lock()
	s.node.SetConfiguration(version)
	s.node.SetDigest(digest)
	actions := update(time.Now())
	changes, marks := s.node.Changes()
	notes := s.node.NewNotes()
	if urgent(changes, marks, notes) {
		actions = append(actions, s.node.Gossip(urgentFanOut)...)
	}
	s.startActions(actions)
	s.mu.Unlock()
	s.reportChanges(changes, marks)
	for _, note := range notes {
		s.observer.NoteChanged(note)
	}
}

// startActions starts the actions unless the service has stopped. The lock must be
// held.
func (s *Service) startActions(actions []membership.Action) {
	if s.ctx.Err() != nil {
		return
	}
	for _, a := range actions {
		s.wg.Go(func() { s.execute(a) })
	}
}

// urgent reports whether a VM or an endpoint has begun to leave, or a note has changed.
// Each VM that learns of this gossips it immediately, outside the regular probes.
func urgent(changes []membership.Change, marks []membership.Mark, notes []membership.Note) bool {
	for _, c := range changes {
		if c.Current.Leaving && !c.Previous.Leaving && !c.New {
			return true
		}
	}
	return len(marks) > 0 || len(notes) > 0
}

// localState returns what this VM reports about itself. It must be called without
// the lock, as the functions that it calls may take locks of their own.
func (s *Service) localState() (version int64, digest []byte) {
	if s.digest != nil {
		digest = s.digest()
	}
	return s.version(), digest
}

// reportChanges logs the changes and passes them to the observer.
func (s *Service) reportChanges(changes []membership.Change, marks []membership.Mark) {
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
		s.observer.EndpointMarked(m)
	}
	if len(changes) > 0 {
		s.observer.MembersChanged()
	}
}

// execute carries out an action and blocks until it has ended.
func (s *Service) execute(a membership.Action) {
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
	var reply membership.Message
	_, err := s.caller.Call(ctx, a.To.Address, methodProbe, a.Message, &reply)
	if err != nil || reply.From.ID != a.To.ID {
		s.probeFailed(a.Seq)
		return
	}
	s.updateNode(func(now time.Time) []membership.Action {
		s.node.Acked(now, a.Seq, reply)
		return nil
	})
	s.reportPeerState(reply)
}

func (s *Service) relay(a membership.IndirectProbe) {
	ctx, cancel := context.WithTimeout(s.ctx, a.Timeout)
	defer cancel()
	var reply relayReply
	_, err := s.caller.Call(ctx, a.Via.Address, methodRelay, relayRequest{a.To}, &reply)
	if err != nil || reply.Record.ID != a.To.ID {
		s.probeFailed(a.Seq)
		return
	}
	s.updateNode(func(now time.Time) []membership.Action {
		s.node.AckedIndirectly(now, a.Seq, reply.Record)
		return nil
	})
}

func (s *Service) probeFailed(seq uint64) {
	s.updateNode(func(now time.Time) []membership.Action { return s.node.Failed(now, seq) })
}

func (s *Service) sync(a membership.Sync) {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	var reply syncReply
	_, err := s.caller.Call(ctx, a.Peer.Address, methodSync, struct{}{}, &reply)
	s.updateNode(func(now time.Time) []membership.Action {
		if err != nil {
			s.node.SyncFailed()
			return nil
		}
		s.node.Synced(now, reply.Records, reply.Marks, reply.Notes)
		return nil
	})
}

// reportPeerState passes a peer's report to the observer.
func (s *Service) reportPeerState(msg membership.Message) {
	if s.ctx.Err() != nil {
		return
	}
	s.observer.PeerVersion(msg.From.Address, msg.Configuration)
	if len(msg.Digest) > 0 {
		s.observer.PeerDigest(msg.From.ID, msg.Digest)
	}
}

func (s *Service) handleProbe(_ context.Context, from peer.Identity, msg membership.Message) (membership.Message, error) {
	if from.VM != msg.From.ID || from.Incarnation != msg.From.Incarnation {
		return membership.Message{}, errcode.New(errcode.PeerRejected, "%s speaks for %s", from.VM, msg.From.ID)
	}
	var reply membership.Message
	s.updateNode(func(now time.Time) []membership.Action {
		reply = s.node.Receive(now, msg)
		return nil
	})
	s.reportPeerState(msg)
	return reply, nil
}

// handleRelay probes a VM on behalf of a peer whose own probe was not answered.
func (s *Service) handleRelay(ctx context.Context, _ peer.Identity, r relayRequest) (relayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membership.DefaultConfig().ProbeTimeout)
	defer cancel()
	s.mu.Lock()
	msg := membership.Message{From: s.node.Self()}
	s.mu.Unlock()
	if r.To.Status != membership.StatusAlive {
		msg.Updates = []membership.Update{{Record: &r.To}}
	}
	var reply membership.Message
	if _, err := s.caller.Call(ctx, r.To.Address, methodProbe, msg, &reply); err != nil {
		return relayReply{}, err
	}
	return relayReply{reply.From}, nil
}

func (s *Service) handleSync(context.Context, peer.Identity, struct{}) (syncReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return syncReply{s.node.Records(), s.node.Marks(), s.node.Notes()}, nil
}
