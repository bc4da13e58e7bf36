package engine

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// ModelConfig holds the capacity and speed of a Model.
type ModelConfig struct {
	// MemoryTokens is the size of the KV cache, in tokens.
	MemoryTokens int64
	// PrefillRate is the prefill speed, in tokens a second.
	PrefillRate float64
	// DecodeStep is added to the duration of each iteration that decodes.
	DecodeStep time.Duration
	// DecodePerSequence is added to the duration of an iteration for each decoded
	// sequence.
	DecodePerSequence time.Duration
	// PrefillChunkTokens is the largest prefill chunk of one iteration, in tokens; with
	// zero, an iteration prefills one whole prompt.
	PrefillChunkTokens int64
	// PriorityScheduling selects waiting and prefilling sequences by priority first and
	// by order of arrival second, instead of by order of arrival alone.
	PriorityScheduling bool
}

// Sequence is one prompt and its answer in a Model.
type Sequence struct {
	// ID is unique within the Model.
	ID       string
	Priority wire.Priority
	// Blocks holds the hashes of the prompt's blocks of BlockTokens tokens each.
	Blocks []uint64
	// PromptTokens and Answer are lengths in tokens.
	PromptTokens int64
	AnswerTokens int64
	// Delivered is the number of answer tokens that the caller already has;
	// generation resumes after them.
	Delivered int64
	// Reserved is the memory reserved for the sequence before it was submitted, in
	// tokens.
	Reserved int64

	cached    int64
	prefilled int64
	emitted   int64
}

// Cached returns the number of prompt tokens found in the prefix cache.
func (s *Sequence) Cached() int64 { return s.cached }

// unreservedTokens returns the memory that the sequence needs beyond its
// reservation, in tokens.
func (s *Sequence) unreservedTokens() int64 {
	return max(0, s.PromptTokens+s.AnswerTokens-s.Reserved)
}

// Token is one generated token.
type Token struct {
	Sequence *Sequence
	// Index is the position in the whole answer, from 0.
	Index int64
	// Last is set on the token that completes the answer.
	Last bool
}

// Model simulates an engine in virtual time. It is not safe for concurrent use.
type Model struct {
	cfg ModelConfig
	// waiting holds the sequences without allocated memory, prefilling those that
	// have memory and an incomplete prefill, the former in order of arrival and
	// the latter in order of admission.
	waiting    []*Sequence
	prefilling []*Sequence
	running    []*Sequence
	cache      *prefixCache
	// allocated and reserved are the memory of admitted sequences and of
	// reservations, in tokens.
	allocated int64
	reserved  int64
}

// NewModel returns a Model without sequences.
func NewModel(cfg ModelConfig) *Model {
	return &Model{cfg: cfg, cache: newPrefixCache()}
}

// Submit queues the sequence.
func (m *Model) Submit(s *Sequence) {
	m.waiting = append(m.waiting, s)
}

// Cancel removes the sequence and frees its memory. It reports whether the Model
// held the sequence.
func (m *Model) Cancel(id string) bool {
	for _, list := range []*[]*Sequence{&m.waiting, &m.prefilling, &m.running} {
		i := slices.IndexFunc(*list, func(s *Sequence) bool { return s.ID == id })
		if i < 0 {
			continue
		}
		if list != &m.waiting {
			m.allocated -= (*list)[i].unreservedTokens()
		}
		*list = slices.Delete(*list, i, i+1)
		return true
	}
	return false
}

// Idle reports whether there are no sequences.
func (m *Model) Idle() bool {
	return len(m.waiting)+len(m.prefilling)+len(m.running) == 0
}

// Step runs one iteration: at most one chunk of prefill, and one token for each
// running sequence. It returns the iteration's duration and the tokens that are
// generated at its end. A duration of zero means that no sequence could progress.
func (m *Model) Step() (time.Duration, []Token) {
	m.admit()
	chunk := m.prefill()
	tokens := m.decode()
	if chunk == 0 && len(tokens) == 0 {
		return 0, nil
	}
	length := time.Duration(float64(chunk) / m.cfg.PrefillRate * float64(time.Second))
	if len(tokens) > 0 {
		length += m.cfg.DecodeStep + time.Duration(len(tokens))*m.cfg.DecodePerSequence
	}
	m.finish(tokens)
	return length, tokens
}

// admit allocates memory to waiting sequences in the order of nextByPriority. A
// sequence that does not fit blocks those after it.
func (m *Model) admit() {
	for {
		i := m.nextByPriority(m.waiting)
		if i < 0 {
			return
		}
		s := m.waiting[i]
		if !m.makeRoom(s.unreservedTokens()) {
			return
		}
		m.allocated += s.unreservedTokens()
		s.cached = m.cache.match(s.Blocks) * BlockTokens
		s.cached = min(s.cached, s.PromptTokens-1)
		s.prefilled = s.cached
		s.emitted = s.Delivered
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.prefilling = append(m.prefilling, s)
	}
}

// nextByPriority returns the index of the sequence to process next: the first of
// the most urgent ones, or the first of all if priorities are off. It returns -1
// for an empty list.
func (m *Model) nextByPriority(list []*Sequence) int {
	best := -1
	for i, s := range list {
		if best < 0 || m.cfg.PriorityScheduling && s.Priority < list[best].Priority {
			best = i
		}
	}
	return best
}

// makeRoom evicts cached blocks until the number of tokens fits into memory. It
// reports false, without evicting, if they don't fit even with an empty cache.
func (m *Model) makeRoom(tokens int64) bool {
	if m.allocated+m.reserved+tokens > m.cfg.MemoryTokens {
		return false
	}
	m.cache.shrink((m.cfg.MemoryTokens - m.allocated - m.reserved - tokens) / BlockTokens)
	return true
}

// prefill computes one chunk of prefill, which may span several prompts, and
// returns its length in tokens.
func (m *Model) prefill() int64 {
	budget := m.cfg.PrefillChunkTokens
	computed := int64(0)
	for len(m.prefilling) > 0 && (m.cfg.PrefillChunkTokens == 0 || budget > 0) {
		i := m.nextByPriority(m.prefilling)
		s := m.prefilling[i]
		n := s.PromptTokens - s.prefilled
		if m.cfg.PrefillChunkTokens > 0 {
			n = min(n, budget)
		}
		s.prefilled += n
		budget -= n
		computed += n
		if s.prefilled < s.PromptTokens {
			break
		}
		m.prefilling = slices.Delete(m.prefilling, i, i+1)
		m.running = append(m.running, s)
		if m.cfg.PrefillChunkTokens == 0 {
			break
		}
	}
	return computed
}

// decode generates a token for each running sequence.
func (m *Model) decode() []Token {
	tokens := make([]Token, 0, len(m.running))
	for _, s := range m.running {
		t := Token{Sequence: s, Index: s.emitted, Last: s.emitted+1 >= s.AnswerTokens}
		s.emitted++
		tokens = append(tokens, t)
	}
	return tokens
}

// finish frees the memory of the sequences that the tokens complete and adds
// their prompts to the prefix cache.
func (m *Model) finish(tokens []Token) {
	for _, t := range tokens {
		if !t.Last {
			continue
		}
		m.Cancel(t.Sequence.ID)
		m.cache.add(t.Sequence.Blocks)
	}
	m.cache.shrink((m.cfg.MemoryTokens - m.allocated - m.reserved) / BlockTokens)
}

// Reserve reserves memory for the number of tokens. It reports whether there was
// enough.
func (m *Model) Reserve(tokens int64) bool {
	if !m.makeRoom(tokens) {
		return false
	}
	m.reserved += tokens
	return true
}

// Release frees memory that was reserved with Reserve.
func (m *Model) Release(tokens int64) { m.reserved -= tokens }

// Free returns the memory that is neither allocated nor reserved, in tokens.
// Cached blocks count as free.
func (m *Model) Free() int64 { return m.cfg.MemoryTokens - m.allocated - m.reserved }

// Load returns the current load. AtMs, Incarnation and Leaving are not set.
func (m *Model) Load() wire.LoadReport {
	r := wire.LoadReport{
		Running:     len(m.running),
		FreeTokens:  m.Free(),
		TotalTokens: m.cfg.MemoryTokens,
		PrefillRate: m.cfg.PrefillRate,
	}
	for _, list := range [][]*Sequence{m.waiting, m.prefilling} {
		for _, s := range list {
			r.QueuedTokens[s.Priority] += s.PromptTokens - s.prefilled
		}
	}
	return r
}
