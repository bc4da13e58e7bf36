package admission

import (
	"math"
	"time"
)

// forgotten is the count of tokens below which an organisation is dropped.
const forgotten = 1

// usage is the decayed count of an organisation's tokens.
type usage struct {
	tokens float64
	weight float64
	at     time.Time
}

// Shares counts the admitted tokens of each organisation, decayed over time,
// and compares them with the organisations' weights.
type Shares struct {
	over time.Duration
	used map[string]*usage
}

// NewShares returns Shares that count over about the duration.
func NewShares(over time.Duration) *Shares {
	return &Shares{over: over, used: make(map[string]*usage)}
}

// Count adds admitted tokens.
func (s *Shares) Count(now time.Time, organisation string, weight float64, tokens int64) {
	u := s.used[organisation]
	if u == nil {
		u = &usage{at: now}
		s.used[organisation] = u
	}
	u.weight = weight
	s.decay(now, u)
	u.tokens += float64(tokens)
}

func (s *Shares) decay(now time.Time, u *usage) {
	if passed := now.Sub(u.at); passed > 0 {
		u.tokens *= math.Exp(-passed.Seconds() / s.over.Seconds())
		u.at = now
	}
}

// Patience is the part of its time that a prompt of the organisation may wait:
// 1 up to its fair share of the tokens used by all, and in inverse proportion
// beyond it. Only organisations that use the service now count.
func (s *Shares) Patience(now time.Time, organisation string, weight float64) float64 {
	tokens, weights := 0.0, 0.0
	for name, u := range s.used {
		s.decay(now, u)
		if u.tokens < forgotten {
			delete(s.used, name)
			continue
		}
		tokens += u.tokens
		weights += u.weight
	}
	own := s.used[organisation]
	if own == nil {
		return 1
	}
	fair := tokens * weight / weights
	return max(minPatience, min(1, fair/own.tokens))
}
