package coordination

import (
	"context"
	"sync"
	"time"
)

const (
	// updateTimeout bounds one attempt to deliver a message.
	updateTimeout = 500 * time.Millisecond
	// updateAttempts is the maximum number of attempts to deliver a message. If all
	// fail, the updates are lost until another VM, or the same one again, becomes the
	// holder and receives all placed jobs; at the latest, a holder removes a job some
	// time after its deadline.
	updateAttempts = 2
	// maxUpdates is the number of updates at which a new message is started.
	maxUpdates = 256
)

// sender delivers job updates to one VM in order. It batches the updates that are
// queued while a message is in flight.
type sender struct {
	to    Member
	peers Peers
	// onFailure is called when all attempts to deliver a message have failed.
	onFailure func(Member, error)

	mu      sync.Mutex
	pending []updateMessage
	running bool
	// resets is the number of full sets of updates that are not delivered yet. While there
	// are any, delivered is a channel that is closed when there are none.
	resets    int
	delivered chan struct{}
}

// sender returns the sender for the VM.
func (c *Coordinator) sender(to Member) *sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senderLocked(to)
}

// senderLocked is like sender. The caller must hold the lock.
func (c *Coordinator) senderLocked(to Member) *sender {
	s := c.senders[to.VM]
	if s == nil || !s.to.sameInstance(to) {
		s = &sender{to: to, peers: c.peers, onFailure: c.markUnresponsive}
		c.senders[to.VM] = s
	}
	return s
}

// enqueue queues an update and starts the sender if it is idle.
func (s *sender) enqueue(u jobUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.pending) - 1
	if last < 0 || len(s.pending[last].Updates) >= maxUpdates {
		s.pending = append(s.pending, updateMessage{})
		last++
	}
	s.pending[last].Updates = append(s.pending[last].Updates, u)
	s.start()
}

// reset queues a full set of updates that replaces the jobs of a service at the VM, with
// the crashes and limits of its endpoints.
func (s *sender) reset(m updateMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, m)
	if s.resets == 0 {
		s.delivered = make(chan struct{})
	}
	s.resets++
	s.start()
}

// resetEnded records that a full set of updates was delivered, or could not be.
func (s *sender) resetEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets--
	if s.resets == 0 {
		close(s.delivered)
	}
}

// awaitResets waits until no full set of updates is on its way, or for callTimeout.
func (s *sender) awaitResets(ctx context.Context) {
	s.mu.Lock()
	resets, delivered := s.resets, s.delivered
	s.mu.Unlock()
	if resets == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-delivered:
	case <-ctx.Done():
	}
}

// start starts the delivery goroutine unless it is running. The caller must hold
// the lock.
func (s *sender) start() {
	if !s.running {
		s.running = true
		go s.run()
	}
}

func (s *sender) run() {
	for {
		m, ok := s.next()
		if !ok {
			return
		}
		var err error
		for range updateAttempts {
			if err = s.send(m); err == nil {
				break
			}
		}
		if m.Reset != nil {
			s.resetEnded()
		}
		if err != nil {
			s.onFailure(s.to, err)
		}
	}
}

// next returns the next message to send; if there is none, it marks the sender as
// stopped and returns false.
func (s *sender) next() (updateMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		s.running = false
		s.pending = nil
		return updateMessage{}, false
	}
	m := s.pending[0]
	s.pending = s.pending[1:]
	return m, true
}

func (s *sender) send(m updateMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	if !m.encodedAt.IsZero() {
		m.Held = time.Since(m.encodedAt).Microseconds()
	}
	_, err := s.peers.Call(ctx, s.to.Address, methodNote, m, &struct{}{})
	return err
}
