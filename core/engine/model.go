package engine

import (
	"math"
	"slices"
	"time"
)

// PrefillPart is the share of a prompt that one engine prefills.
type PrefillPart struct {
	// Tokens and Ms are the remaining tokens and their prefill time.
	Tokens float64
	Ms     float64
	// Shared is set if other engines prefill parts of the same prompt. An
	// engine processes such a part before all parts that it received earlier.
	Shared bool
}

// NewPrefillPart returns the part of each engine for a prompt that is split evenly.
func (c *CostModel) NewPrefillPart(tokens, engines int) *PrefillPart {
	return &PrefillPart{
		Tokens: float64(tokens) / float64(engines),
		Ms:     c.PrefillMs(tokens, engines),
		Shared: engines > 1,
	}
}

// chunk is the portion of a part that is prefilled in one pass.
type chunk struct {
	part   *PrefillPart
	tokens float64
	ms     float64
}

// Model simulates an engine pass by pass, from the work submitted to it. It is
// not safe for concurrent use.
type Model struct {
	costModel *CostModel
	// decoding is the number of decoding requests, and context their total
	// context in tokens.
	decoding int
	context  int
	// parts is the prefill queue, including the parts in the current pass.
	parts []*PrefillPart
	// passStart and passEnd are the start of the current pass and its predicted
	// end; passEnd is zero while the engine is idle.
	passStart time.Time
	passEnd   time.Time
	// chunks lists the prefill work of the current pass.
	chunks []chunk
}

// NewModel returns the model of an idle engine.
func NewModel(c *CostModel) *Model { return &Model{costModel: c} }

// Advance simulates the engine up to now.
func (m *Model) Advance(now time.Time) {
	for !m.passEnd.IsZero() && !m.passEnd.After(now) {
		m.finishPass()
		m.beginPass(m.passEnd)
	}
}

// finishPass deducts the prefill work of the current pass from the parts and
// removes the completed ones.
func (m *Model) finishPass() {
	for _, s := range m.chunks {
		s.part.Tokens -= s.tokens
		s.part.Ms -= s.ms
	}
	m.chunks = m.chunks[:0]
	m.parts = slices.DeleteFunc(m.parts, func(p *PrefillPart) bool { return p.Tokens <= 0 })
}

// beginPass starts a pass, or marks the engine idle if there is no work.
func (m *Model) beginPass(at time.Time) {
	if m.decoding == 0 && len(m.parts) == 0 {
		m.passEnd = time.Time{}
		return
	}
	steps := 1
	if m.decoding > 0 {
		steps = max(1, m.costModel.Stride)
	}
	ms := m.costModel.PassMs(m.decoding, m.context)
	budget := float64(steps * m.costModel.ChunkTokens)
	for _, p := range m.parts {
		if budget <= 0 {
			break
		}
		s := chunk{part: p, tokens: min(budget, p.Tokens), ms: p.Ms}
		if s.tokens < p.Tokens {
			s.ms = p.Ms * s.tokens / p.Tokens
		}
		budget -= s.tokens
		ms += s.ms
		m.chunks = append(m.chunks, s)
	}
	m.passStart = at
	m.passEnd = at.Add(Duration(max(ms, minPassMs)))
}

// Add enqueues a part for prefill.
func (m *Model) Add(now time.Time, p *PrefillPart) {
	m.Advance(now)
	m.parts = slices.Insert(m.parts, m.queueIndex(p), p)
	if m.passEnd.IsZero() {
		m.beginPass(now)
	}
}

// queueIndex returns the queue position at which a new part is inserted.
func (m *Model) queueIndex(p *PrefillPart) int {
	if p.Shared {
		return 0
	}
	return len(m.parts)
}

// Remove removes a part, whether or not its prefill is complete.
func (m *Model) Remove(now time.Time, p *PrefillPart) {
	m.Advance(now)
	p.Tokens, p.Ms = 0, 0
	m.chunks = slices.DeleteFunc(m.chunks, func(s chunk) bool { return s.part == p })
	m.parts = slices.DeleteFunc(m.parts, func(q *PrefillPart) bool { return q == p })
}

// AddDecoding adds to the number of decoding requests and to their total context in
// tokens; the arguments may be negative.
func (m *Model) AddDecoding(now time.Time, decoding, context int) {
	m.Advance(now)
	m.decoding += decoding
	m.context += context
	if m.passEnd.IsZero() {
		m.beginPass(now)
	}
}

// PrefillCompleted records that the prefill of a part was observed to complete, which
// happens at the end of a pass. It removes the part and resynchronises the
// model with the engine.
func (m *Model) PrefillCompleted(now time.Time, p *PrefillPart) {
	m.Advance(now)
	endsCurrentPass := slices.Contains(m.parts, p) || p.Shared && m.pastMidpoint(now)
	m.Remove(now, p)
	if m.passEnd.IsZero() {
		return
	}
	if !endsCurrentPass {
		// The observed end belongs to the previous pass: the model was ahead of
		// the engine.
		m.chunks = m.chunks[:0]
	}
	m.dropUnprocessed(now)
	m.finishPass()
	m.beginPass(now)
}

// dropUnprocessed removes from the current pass, which ends now, the work whose
// prefill time exceeds the elapsed time of the pass: those parts arrived too
// late for it.
func (m *Model) dropUnprocessed(now time.Time) {
	elapsedMs := Ms(now.Sub(m.passStart))
	m.chunks = slices.DeleteFunc(m.chunks, func(s chunk) bool { return s.ms > elapsedMs })
}

// pastMidpoint reports whether the current pass is closer to its predicted end
// than to its start.
func (m *Model) pastMidpoint(now time.Time) bool {
	return !m.passEnd.IsZero() && now.Sub(m.passStart) > m.passEnd.Sub(now)
}

// Decoding returns the number of decoding requests.
func (m *Model) Decoding() int { return m.decoding }

// Forecast is the predicted effect of adding a part to an engine.
type Forecast struct {
	// FirstMs is the time until the end of the pass that completes the part's
	// prefill.
	FirstMs float64
	// MeanPassMs is the mean length of the passes until then, or the length of a
	// step without prefill if no request is decoding.
	MeanPassMs float64
	// LongestPassMs is the length of the longest of these passes: the longest gap
	// between two events of a request that is decoding.
	LongestPassMs float64
	// BaselinePassMs is the length of the next pass without the part, or the length
	// of a step without prefill if no request is decoding.
	BaselinePassMs float64
}

// Forecast predicts the prefill of a part that is not yet enqueued.
func (m *Model) Forecast(now time.Time, p PrefillPart) Forecast {
	m.Advance(now)
	index := m.queueIndex(&p)
	ahead := m.pendingPrefill(m.parts[:index], math.Inf(1))
	if m.decoding == 0 {
		steps := 1 + p.Tokens/float64(max(1, m.costModel.ChunkTokens))
		prefillMs := ahead.ms + p.Ms + steps*m.costModel.StepMs
		stepMs := m.costModel.StepMs
		return Forecast{FirstMs: m.remainingPassMs(now) + prefillMs, MeanPassMs: stepMs, LongestPassMs: stepMs, BaselinePassMs: stepMs}
	}
	base := m.costModel.PassMs(m.decoding, m.context)
	budget := float64(max(1, m.costModel.Stride) * max(1, m.costModel.ChunkTokens))
	passes := max(1, math.Ceil((ahead.tokens+p.Tokens)/budget))
	behind := m.pendingPrefill(m.parts[index:], passes*budget-ahead.tokens-p.Tokens)
	prefillMs := ahead.ms + p.Ms + behind.ms
	return Forecast{
		FirstMs:        m.remainingPassMs(now) + passes*base + prefillMs,
		MeanPassMs:     base + prefillMs/passes,
		LongestPassMs:  base + m.longestPrefillMs(index, p, budget, passes),
		BaselinePassMs: base + m.pendingPrefill(m.parts, budget).ms,
	}
}

// longestPrefillMs returns the prefill time of the pass that has most of it, among the
// given number of passes of a budget in tokens, if a part is inserted into the queue at
// an index.
func (m *Model) longestPrefillMs(index int, inserted PrefillPart, budget, passes float64) float64 {
	longest, ms, room := 0.0, 0.0, budget
	add := func(c chunk) {
		if c.tokens <= 0 {
			return
		}
		msPerToken := c.ms / c.tokens
		for c.tokens >= room && passes > 0 {
			longest = max(longest, ms+msPerToken*room)
			c.tokens -= room
			ms, room = 0, budget
			passes--
			// The whole passes that the part fills are of one length.
			if whole := min(passes, math.Floor(c.tokens/budget)); whole > 0 {
				longest = max(longest, msPerToken*budget)
				c.tokens -= whole * budget
				passes -= whole
			}
		}
		ms += msPerToken * c.tokens
		room -= c.tokens
	}
	for _, p := range m.parts[:index] {
		add(m.remainingAfterPass(p))
	}
	add(chunk{tokens: inserted.Tokens, ms: inserted.Ms})
	for _, p := range m.parts[index:] {
		if passes <= 0 {
			break
		}
		add(m.remainingAfterPass(p))
	}
	if passes > 0 {
		longest = max(longest, ms)
	}
	return longest
}

// remainingPassMs returns the remaining time of the current pass.
func (m *Model) remainingPassMs(now time.Time) float64 {
	if m.passEnd.IsZero() {
		return 0
	}
	return max(0, Ms(m.passEnd.Sub(now)))
}

// pendingPrefill returns the prefill work, up to a budget in tokens, that the
// current pass leaves of the parts.
func (m *Model) pendingPrefill(parts []*PrefillPart, budget float64) chunk {
	var sum chunk
	for _, p := range parts {
		remaining := m.remainingAfterPass(p)
		if remaining.tokens <= 0 {
			continue
		}
		if remaining.tokens > budget {
			remaining.ms *= budget / remaining.tokens
			remaining.tokens = budget
		}
		sum.tokens += remaining.tokens
		sum.ms += remaining.ms
		budget -= remaining.tokens
	}
	return sum
}

// remainingAfterPass returns what remains of a part after the current pass.
func (m *Model) remainingAfterPass(p *PrefillPart) chunk {
	remaining := chunk{part: p, tokens: p.Tokens, ms: p.Ms}
	for _, s := range m.chunks {
		if s.part == p {
			remaining.tokens -= s.tokens
			remaining.ms -= s.ms
		}
	}
	return remaining
}

// PendingPrefillMs returns the total remaining prefill time in milliseconds.
func (m *Model) PendingPrefillMs(now time.Time) float64 {
	m.Advance(now)
	total := 0.0
	for _, p := range m.parts {
		total += p.Ms
	}
	for _, s := range m.chunks {
		total -= max(0, s.ms-m.remainingPassMs(now))
	}
	return max(0, total)
}
