package engine

import (
	"slices"
	"time"
)

// Part is what one engine reads of a prompt.
type Part struct {
	// Tokens and Ms are what is left to read, and the time that it takes.
	Tokens float64
	Ms     float64
	// Ahead says that the part is read before those that are not, as an engine
	// does for prompts that it helps with.
	Ahead bool
}

// NewPart is the part of a prompt that each of the readers has.
func (f *Figures) NewPart(tokens, readers int, ahead bool) *Part {
	return &Part{Tokens: float64(tokens) / float64(readers), Ms: f.ReadMs(tokens, readers), Ahead: ahead}
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
	// passEnd is when the pass under way ends; zero for an idle engine.
	passEnd time.Time
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
	m.passEnd = at.Add(duration(ms))
}

// Add gives the engine a part to read.
func (m *Model) Add(now time.Time, p *Part) {
	m.Advance(now)
	at := len(m.parts)
	if p.Ahead {
		at = m.ahead()
	}
	m.parts = slices.Insert(m.parts, at, p)
	if m.passEnd.IsZero() {
		m.begin(now)
	}
}

// ahead is the number of parts before which a part that is read ahead does not
// go.
func (m *Model) ahead() int {
	n := slices.IndexFunc(m.parts, func(p *Part) bool { return !p.Ahead })
	if n < 0 {
		return len(m.parts)
	}
	return n
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

// Ended corrects the model by a pass that was seen to end.
func (m *Model) Ended(now time.Time) {
	m.Advance(now)
	if m.passEnd.IsZero() {
		return
	}
	m.finish()
	m.begin(now)
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
	before, behind := m.pending(p.Ahead)
	if m.writers == 0 {
		steps := 1 + p.Tokens/float64(max(1, m.figures.ChunkTokens))
		readMs := before + p.Ms + steps*m.figures.StepMs
		return Forecast{FirstMs: m.restMs(now) + readMs, PassMs: m.figures.StepMs, WithoutMs: m.figures.StepMs}
	}
	base := m.figures.PassMs(m.writers, m.context)
	passes := max(1, (m.tokensBefore(p.Ahead)+p.Tokens)/float64(max(1, m.figures.Stride)*max(1, m.figures.ChunkTokens)))
	readMs := before + behind + p.Ms
	return Forecast{
		FirstMs:   m.restMs(now) + passes*base + readMs,
		PassMs:    base + readMs/passes,
		WithoutMs: base + before + behind,
	}
}

// restMs is the rest of the pass under way.
func (m *Model) restMs(now time.Time) float64 {
	if m.passEnd.IsZero() {
		return 0
	}
	return max(0, float64(m.passEnd.Sub(now))/float64(time.Millisecond))
}

// pending is the reading in ms that is not part of the pass under way: before
// and behind a new part.
func (m *Model) pending(ahead bool) (before, behind float64) {
	first := len(m.parts)
	if ahead {
		first = m.ahead()
	}
	for i, p := range m.parts {
		if i < first {
			before += p.Ms
		} else {
			behind += p.Ms
		}
	}
	for _, s := range m.reading {
		if slices.Index(m.parts, s.part) < first {
			before -= s.ms
		} else {
			behind -= s.ms
		}
	}
	return max(0, before), max(0, behind)
}

// tokensBefore is the number of tokens that are read before a new part, beside
// those of the pass under way.
func (m *Model) tokensBefore(ahead bool) float64 {
	tokens := 0.0
	for _, p := range m.parts {
		if !ahead || p.Ahead {
			tokens += p.Tokens
		}
	}
	for _, s := range m.reading {
		if !ahead || s.part.Ahead {
			tokens -= s.tokens
		}
	}
	return max(0, tokens)
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

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
