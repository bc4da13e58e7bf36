package engine

import (
	"math"
	"slices"
	"time"
)

// Part is what one engine reads of a prompt.
type Part struct {
	// Tokens and Ms are what is left to read, and the time that it takes.
	Tokens float64
	Ms     float64
	// Shared says that other engines read parts of the same prompt. An engine
	// reads such a part before all that it got earlier.
	Shared bool
}

// NewPart is the part of a prompt that each of the readers has.
func (f *Figures) NewPart(tokens, readers int) *Part {
	return &Part{
		Tokens: float64(tokens) / float64(readers),
		Ms:     f.ReadMs(tokens, readers),
		Shared: readers > 1,
	}
}

// slice is the piece of a part that is read in a pass.
type slice struct {
	part   *Part
	tokens float64
	ms     float64
}

// Model follows what an engine does, pass by pass, from what it was given. It is
// not safe for concurrent use.
type Model struct {
	figures *Figures
	// writers is the number of requests that write, and context the tokens that
	// they hold.
	writers int
	context int
	// parts wait to be read, or are being read, in order.
	parts []*Part
	// passStart and passEnd are when the pass under way began and ends; passEnd is
	// zero for an idle engine.
	passStart time.Time
	passEnd   time.Time
	// reading is what the pass under way reads.
	reading []slice
}

// NewModel returns the Model of an idle engine.
func NewModel(f *Figures) *Model { return &Model{figures: f} }

// Advance plays the engine up to now.
func (m *Model) Advance(now time.Time) {
	for !m.passEnd.IsZero() && !m.passEnd.After(now) {
		m.finish()
		m.begin(m.passEnd)
	}
}

// finish takes what the pass under way has read off the parts.
func (m *Model) finish() {
	for _, s := range m.reading {
		s.part.Tokens -= s.tokens
		s.part.Ms -= s.ms
	}
	m.reading = m.reading[:0]
	m.parts = slices.DeleteFunc(m.parts, func(p *Part) bool { return p.Tokens <= 0 })
}

// begin starts a pass, or leaves the engine idle.
func (m *Model) begin(at time.Time) {
	if m.writers == 0 && len(m.parts) == 0 {
		m.passEnd = time.Time{}
		return
	}
	steps := 1
	if m.writers > 0 {
		steps = max(1, m.figures.Stride)
	}
	ms := m.figures.PassMs(m.writers, m.context)
	budget := float64(steps * m.figures.ChunkTokens)
	for _, p := range m.parts {
		if budget <= 0 {
			break
		}
		s := slice{part: p, tokens: min(budget, p.Tokens), ms: p.Ms}
		if s.tokens < p.Tokens {
			s.ms = p.Ms * s.tokens / p.Tokens
		}
		budget -= s.tokens
		ms += s.ms
		m.reading = append(m.reading, s)
	}
	m.passStart = at
	m.passEnd = at.Add(Duration(ms))
}

// Add gives the engine a part to read.
func (m *Model) Add(now time.Time, p *Part) {
	m.Advance(now)
	m.parts = slices.Insert(m.parts, m.place(p), p)
	if m.passEnd.IsZero() {
		m.begin(now)
	}
}

// place is the number of parts that are read before a new one.
func (m *Model) place(p *Part) int {
	if p.Shared {
		return 0
	}
	return len(m.parts)
}

// Remove takes a part away, whether it was read or not.
func (m *Model) Remove(now time.Time, p *Part) {
	m.Advance(now)
	p.Tokens, p.Ms = 0, 0
	m.reading = slices.DeleteFunc(m.reading, func(s slice) bool { return s.part == p })
	m.parts = slices.DeleteFunc(m.parts, func(q *Part) bool { return q == p })
}

// Write changes the requests that write, and their context in tokens.
func (m *Model) Write(now time.Time, writers, context int) {
	m.Advance(now)
	m.writers += writers
	m.context += context
	if m.passEnd.IsZero() {
		m.begin(now)
	}
}

// Read takes away a part whose prompt was seen to be read, at the end of a pass,
// and corrects the model by that.
func (m *Model) Read(now time.Time, p *Part) {
	m.Advance(now)
	ended := slices.Contains(m.parts, p) || p.Shared && m.halfOver(now)
	m.Remove(now, p)
	if m.passEnd.IsZero() {
		return
	}
	if !ended {
		// The pass that ended is the one before: the model was ahead of the engine.
		m.reading = m.reading[:0]
	}
	m.dropUnread(now)
	m.finish()
	m.begin(now)
}

// dropUnread takes out of the pass under way, which ends now, what it had no time
// to read: those parts came too late for it.
func (m *Model) dropUnread(now time.Time) {
	elapsedMs := Ms(now.Sub(m.passStart))
	m.reading = slices.DeleteFunc(m.reading, func(s slice) bool { return s.ms > elapsedMs })
}

// halfOver reports whether the end of the pass under way is nearer than its
// beginning.
func (m *Model) halfOver(now time.Time) bool {
	return !m.passEnd.IsZero() && now.Sub(m.passStart) > m.passEnd.Sub(now)
}

// Writers is the number of requests that write.
func (m *Model) Writers() int { return m.writers }

// Forecast is what would become of a part that an engine were given.
type Forecast struct {
	// FirstMs is the time until the part is read and the pass that reads it has
	// ended.
	FirstMs float64
	// PassMs is the length of the longest pass until then.
	PassMs float64
	// WithoutMs is the length that this pass would have without the part.
	WithoutMs float64
}

// Forecast predicts how the engine would read a part.
func (m *Model) Forecast(now time.Time, p Part) Forecast {
	m.Advance(now)
	first := m.place(&p)
	before := m.pending(m.parts[:first], math.Inf(1))
	if m.writers == 0 {
		steps := 1 + p.Tokens/float64(max(1, m.figures.ChunkTokens))
		readMs := before.ms + p.Ms + steps*m.figures.StepMs
		return Forecast{FirstMs: m.restMs(now) + readMs, PassMs: m.figures.StepMs, WithoutMs: m.figures.StepMs}
	}
	base := m.figures.PassMs(m.writers, m.context)
	budget := float64(max(1, m.figures.Stride) * max(1, m.figures.ChunkTokens))
	passes := max(1, math.Ceil((before.tokens+p.Tokens)/budget))
	behind := m.pending(m.parts[first:], passes*budget-before.tokens-p.Tokens)
	readMs := before.ms + p.Ms + behind.ms
	return Forecast{
		FirstMs:   m.restMs(now) + passes*base + readMs,
		PassMs:    base + readMs/passes,
		WithoutMs: base + m.pending(m.parts, budget).ms,
	}
}

// restMs is the rest of the pass under way.
func (m *Model) restMs(now time.Time) float64 {
	if m.passEnd.IsZero() {
		return 0
	}
	return max(0, Ms(m.passEnd.Sub(now)))
}

// pending is what the passes after the one under way read of the parts, up to a
// number of tokens.
func (m *Model) pending(parts []*Part, budget float64) slice {
	var sum slice
	for _, p := range parts {
		left := m.afterPass(p)
		if left.tokens <= 0 {
			continue
		}
		if left.tokens > budget {
			left.ms *= budget / left.tokens
			left.tokens = budget
		}
		sum.tokens += left.tokens
		sum.ms += left.ms
		budget -= left.tokens
	}
	return sum
}

// afterPass is what the pass under way leaves of a part.
func (m *Model) afterPass(p *Part) slice {
	left := slice{part: p, tokens: p.Tokens, ms: p.Ms}
	for _, s := range m.reading {
		if s.part == p {
			left.tokens -= s.tokens
			left.ms -= s.ms
		}
	}
	return left
}

// ReadingMs is the time of all reading that is still to be done.
func (m *Model) ReadingMs(now time.Time) float64 {
	m.Advance(now)
	total := 0.0
	for _, p := range m.parts {
		total += p.Ms
	}
	for _, s := range m.reading {
		total -= max(0, s.ms-m.restMs(now))
	}
	return max(0, total)
}
