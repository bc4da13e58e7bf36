package coordination

import (
	"context"
	"sync"
	"time"
)

const (
	// noteTimeout bounds the delivery of notes to a holder.
	noteTimeout = 500 * time.Millisecond
	// noteTries is how often notes are sent to a holder that does not answer.
	// What is lost then ends at its holder with the job's deadline.
	noteTries = 3
	// maxNotes bounds the notes of one message.
	maxNotes = 256
)

// sender delivers notes to one VM in their order, as many together as have
// gathered while the last ones were under way.
type sender struct {
	to    Member
	peers Peers

	mu      sync.Mutex
	pending []note
	running bool
}

// sender returns the one to the VM.
func (c *Coordinator) sender(to Member) *sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senderLocked(to)
}

// senderLocked is sender with the lock held.
func (c *Coordinator) senderLocked(to Member) *sender {
	s := c.senders[to.VM]
	if s == nil || s.to != to {
		s = &sender{to: to, peers: c.peers}
		c.senders[to.VM] = s
	}
	return s
}

// add queues a note.
func (s *sender) add(n note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, n)
	if !s.running {
		s.running = true
		go s.run()
	}
}

func (s *sender) run() {
	for {
		batch := s.next()
		if len(batch) == 0 {
			return
		}
		for range noteTries {
			if s.send(batch) == nil {
				break
			}
		}
	}
}

// next takes the notes to send; the sender stops where there are none.
func (s *sender) next() []note {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxNotes)
	batch := s.pending[:n:n]
	s.pending = s.pending[n:]
	if n == 0 {
		s.running = false
		s.pending = nil
	}
	return batch
}

func (s *sender) send(batch []note) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	_, err := s.peers.Call(ctx, s.to.Address, methodNote, noteMessage{batch}, &struct{}{})
	return err
}
