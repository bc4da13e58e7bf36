package engine

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// ModelConfig is the shape of an engine.
type ModelConfig struct {
	// MemoryTokens is the KV memory.
	MemoryTokens int64
	// PrefillRate is the prefill speed in tokens a second.
	PrefillRate float64
	// DecodeStep is the time of one iteration without prefill.
	DecodeStep time.Duration
	// DecodePerSequence is added to an iteration for each running sequence.
	DecodePerSequence time.Duration
	// PieceTokens is the most prefill of one iteration; zero for whole prompts.
	PieceTokens int64
	// Priorities says whether prompts of high priority go first.
	Priorities bool
}

// Sequence is one prompt at an engine.
type Sequence struct {
	// ID is unique at the engine.
	ID       string
	Priority wire.Priority
	// Blocks are the hashes of the prompt's blocks of BlockTokens tokens.
	Blocks []uint64
	// Prompt and Answer are lengths in tokens.
	Prompt int64
	Answer int64
	// Delivered is the number of answer tokens that the caller has already.
	Delivered int64
	// Reserved is the memory set aside for it beforehand, in tokens.
	Reserved int64

	cached  int64
	filled  int64
	emitted int64
}

// Cached is the part of the prompt that was found in the prefix cache.
func (s *Sequence) Cached() int64 { return s.cached }

// own is the memory that the sequence takes beyond what was reserved for it.
func (s *Sequence) own() int64 {
	return max(0, s.Prompt+s.Answer-s.Reserved)
}

// Token is one generated token.
type Token struct {
	Sequence *Sequence
	// Index counts from 0 over the whole answer.
	Index int64
	// Last says that the answer is whole.
	Last bool
}

// Model is an engine in virtual time. It is not safe for concurrent use.
type Model struct {
	cfg ModelConfig
	// waiting have no memory yet, prefilling have; both in order of arrival.
	waiting    []*Sequence
	prefilling []*Sequence
	running    []*Sequence
	cache      *prefixCache
	held       int64
	reserved   int64
}

// NewModel returns an idle engine.
func NewModel(cfg ModelConfig) *Model {
	return &Model{cfg: cfg, cache: newPrefixCache()}
}

// Submit queues the sequence.
func (m *Model) Submit(s *Sequence) {
	m.waiting = append(m.waiting, s)
}

// Cancel drops the sequence and frees its memory. It reports whether the
// engine had it.
func (m *Model) Cancel(id string) bool {
	for _, list := range []*[]*Sequence{&m.waiting, &m.prefilling, &m.running} {
		i := slices.IndexFunc(*list, func(s *Sequence) bool { return s.ID == id })
		if i < 0 {
			continue
		}
		if list != &m.waiting {
			m.held -= (*list)[i].own()
		}
		*list = slices.Delete(*list, i, i+1)
		return true
	}
	return false
}

// Idle reports whether there is nothing to do.
func (m *Model) Idle() bool {
	return len(m.waiting)+len(m.prefilling)+len(m.running) == 0
}

// Step runs one iteration: at most a piece of prefill, and one token for each
// running sequence. It returns the iteration's length and the tokens at its
// end. A length of zero means that nothing could be done.
func (m *Model) Step() (time.Duration, []Token) {
	m.start()
	piece := m.prefill()
	tokens := m.decode()
	if piece == 0 && len(tokens) == 0 {
		return 0, nil
	}
	length := time.Duration(float64(piece) / m.cfg.PrefillRate * float64(time.Second))
	if len(tokens) > 0 {
		length += m.cfg.DecodeStep + time.Duration(len(tokens))*m.cfg.DecodePerSequence
	}
	m.finish(tokens)
	return length, tokens
}

// start gives memory to waiting sequences, the more urgent first, in order of
// arrival. A sequence that does not fit holds back those behind it.
func (m *Model) start() {
	for {
		i := m.next(m.waiting)
		if i < 0 {
			return
		}
		s := m.waiting[i]
		if !m.fit(s.own()) {
			return
		}
		m.held += s.own()
		s.cached = m.cache.match(s.Blocks) * BlockTokens
		s.cached = min(s.cached, s.Prompt-1)
		s.filled = s.cached
		s.emitted = s.Delivered
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.prefilling = append(m.prefilling, s)
	}
}

// next is the index of the sequence to go on with; -1 for none.
func (m *Model) next(list []*Sequence) int {
	best := -1
	for i, s := range list {
		if best < 0 || m.cfg.Priorities && s.Priority < list[best].Priority {
			best = i
		}
	}
	return best
}

// fit makes room for so many tokens by evicting cached blocks, if need be.
func (m *Model) fit(tokens int64) bool {
	if m.held+m.reserved+tokens > m.cfg.MemoryTokens {
		return false
	}
	m.cache.shrink((m.cfg.MemoryTokens - m.held - m.reserved - tokens) / BlockTokens)
	return true
}

// prefill computes up to a piece of prompts and returns its tokens.
func (m *Model) prefill() int64 {
	left := m.cfg.PieceTokens
	done := int64(0)
	for len(m.prefilling) > 0 && (m.cfg.PieceTokens == 0 || left > 0) {
		i := m.next(m.prefilling)
		s := m.prefilling[i]
		n := s.Prompt - s.filled
		if m.cfg.PieceTokens > 0 {
			n = min(n, left)
		}
		s.filled += n
		left -= n
		done += n
		if s.filled < s.Prompt {
			break
		}
		m.prefilling = slices.Delete(m.prefilling, i, i+1)
		m.running = append(m.running, s)
		if m.cfg.PieceTokens == 0 {
			break
		}
	}
	return done
}

// decode generates a token for each running sequence.
func (m *Model) decode() []Token {
	tokens := make([]Token, 0, len(m.running))
	for _, s := range m.running {
		t := Token{Sequence: s, Index: s.emitted, Last: s.emitted+1 >= s.Answer}
		s.emitted++
		tokens = append(tokens, t)
	}
	return tokens
}

// finish frees the memory of the sequences that are whole and caches their
// prompts.
func (m *Model) finish(tokens []Token) {
	for _, t := range tokens {
		if !t.Last {
			continue
		}
		m.Cancel(t.Sequence.ID)
		m.cache.add(t.Sequence.Blocks)
	}
	m.cache.shrink((m.cfg.MemoryTokens - m.held - m.reserved) / BlockTokens)
}

// Reserve sets memory aside. It reports whether there was enough.
func (m *Model) Reserve(tokens int64) bool {
	if !m.fit(tokens) {
		return false
	}
	m.reserved += tokens
	return true
}

// Release gives back memory that Reserve set aside.
func (m *Model) Release(tokens int64) { m.reserved -= tokens }

// Free is the memory that nothing holds; cached blocks count as free.
func (m *Model) Free() int64 { return m.cfg.MemoryTokens - m.held - m.reserved }

// Load is the engine's load now.
func (m *Model) Load() wire.LoadReport {
	r := wire.LoadReport{
		Running:     len(m.running),
		FreeTokens:  m.Free(),
		TotalTokens: m.cfg.MemoryTokens,
		PrefillRate: m.cfg.PrefillRate,
	}
	for _, list := range [][]*Sequence{m.waiting, m.prefilling} {
		for _, s := range list {
			r.QueuedTokens[s.Priority] += s.Prompt - s.filled
		}
	}
	return r
}
