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
	// What is lost then is told anew when another VM, or the same one again,
	// becomes the holder; it ends at the latest after the job's deadline.
	noteTries = 2
	// maxNotes bounds the notes of one message.
	maxNotes = 256
)

// sender delivers notes to one VM in their order, as many together as have
// gathered while the last ones were under way.
type sender struct {
	to    Member
	peers Peers
	// lost is called when the VM does not answer.
	lost func(Member, error)

	mu      sync.Mutex
	pending []noteMessage
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
	if s == nil || !s.to.same(to) {
		s = &sender{to: to, peers: c.peers, lost: c.lost}
		c.senders[to.VM] = s
	}
	return s
}

// add queues a note.
func (s *sender) add(n note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.pending) - 1
	if last < 0 || len(s.pending[last].Notes) >= maxNotes {
		s.pending = append(s.pending, noteMessage{})
		last++
	}
	s.pending[last].Notes = append(s.pending[last].Notes, n)
	s.start()
}

// reset queues all notes of a service, in place of what the VM knows.
func (s *sender) reset(r reset, notes []note) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, noteMessage{Reset: &r, Notes: notes})
	s.start()
}

// start runs the sender; the lock is held.
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
		for range noteTries {
			if err = s.send(m); err == nil {
				break
			}
		}
		if err != nil {
			s.lost(s.to, err)
		}
	}
}

// next takes the message to send; the sender stops where there is none.
func (s *sender) next() (noteMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		s.running = false
		s.pending = nil
		return noteMessage{}, false
	}
	m := s.pending[0]
	s.pending = s.pending[1:]
	return m, true
}

func (s *sender) send(m noteMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	_, err := s.peers.Call(ctx, s.to.Address, methodNote, m, &struct{}{})
	return err
}
