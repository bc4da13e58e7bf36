package admission

import (
	"math"
	"time"
)

// minTrackedTokens is the decayed token count below which an organisation is
// removed.
const minTrackedTokens = 1

// usage is the decayed count of an organisation's admitted tokens, as of at.
type usage struct {
	tokens float64
	weight float64
	at     time.Time
}

// Shares counts the admitted tokens of each organisation, with exponential decay,
// and compares the counts with the organisations' weights.
type Shares struct {
	timeConstant time.Duration
	usage        map[string]*usage
}

// NewShares returns empty Shares whose counts decay with the time constant.
func NewShares(timeConstant time.Duration) *Shares {
	return &Shares{timeConstant: timeConstant, usage: make(map[string]*usage)}
}

// Count adds admitted tokens and updates the organisation's weight.
func (s *Shares) Count(now time.Time, organisation string, weight float64, tokens int64) {
	u := s.usage[organisation]
	if u == nil {
		u = &usage{at: now}
		s.usage[organisation] = u
	}
	u.weight = weight
	s.decay(now, u)
	u.tokens += float64(tokens)
}

func (s *Shares) decay(now time.Time, u *usage) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		u.tokens *= math.Exp(-elapsed.Seconds() / s.timeConstant.Seconds())
		u.at = now
	}
}

// DeadlineFraction returns the fraction of its time limit that a prompt of the
// organisation may be predicted to take: 1 up to the organisation's fair share of
// all tokens, and inversely proportional to its usage above that. Only
// organisations with recent usage have a share.
func (s *Shares) DeadlineFraction(now time.Time, organisation string, weight float64) float64 {
	tokens, weights := 0.0, 0.0
	for name, u := range s.usage {
		s.decay(now, u)
		if u.tokens < minTrackedTokens {
			delete(s.usage, name)
			continue
		}
		tokens += u.tokens
		weights += u.weight
	}
	own := s.usage[organisation]
	if own == nil {
		return 1
	}
	fairShare := tokens * weight / weights
	return max(minDeadlineFraction, min(1, fairShare/own.tokens))
}
