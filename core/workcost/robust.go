package workcost

import (
	"math"
	"time"
)

const (
	// minSpread and maxSpread bound the spread of a mean's residuals, in log units, and
	// initialSpread is assumed before there are any.
	minSpread, maxSpread, initialSpread = 0.1, 1.0, 0.3
	// clipSpreads is the number of spreads to which a residual is clipped. With 2.5, one
	// request in a hundred that takes five times as long shifts a mean by less than 1 in 100.
	clipSpreads = 2.5
	// changeRun is the number of consecutive clipped residuals to one side that count as a
	// change: earlier evidence then counts no more than changeEvidence.
	changeRun, changeEvidence = 3, 2
	// changeWeight is the weight from which a value counts for a change: of wider kinds, those
	// of an organisation that sends many requests don't.
	changeWeight = 0.5
	// spreadWeight is the weight of the latest residual in the spread.
	spreadWeight = 0.1
)

// robustMean is a mean of values in log units that follows changes and withstands outliers.
type robustMean struct {
	mean float64
	// spread is the mean absolute deviation of the clipped residuals.
	spread float64
	// evidence is the number of recent values, decayed to updated, which is a time since the
	// estimator's epoch.
	evidence float64
	updated  time.Duration
	// run counts the latest consecutive residuals that were clipped, negative for those below
	// the mean.
	run int
}

// decayed returns the evidence at a time, with the time constant window.
func (m *robustMean) decayed(at, window time.Duration) float64 {
	if at <= m.updated {
		return m.evidence
	}
	return m.evidence * decay(at-m.updated, window)
}

// decay returns the share of evidence that is left after a time.
func decay(elapsed, window time.Duration) float64 {
	x := float64(elapsed) / float64(window)
	switch {
	case x <= 0:
		return 1
	case x < 0.01:
		// The error is less than 1 in 10,000.
		return 1 - x
	}
	return math.Exp(-x)
}

// add counts a value with a weight of at most 1. limit bounds the evidence, and so the smallest
// step.
func (m *robustMean) add(at time.Duration, value, weight, limit float64, window time.Duration) {
	n := m.decayed(at, window)
	m.updated = max(m.updated, at)
	if n < negligibleEvidence {
		*m = robustMean{mean: value, spread: initialSpread, evidence: max(weight, 2*negligibleEvidence), updated: m.updated}
		return
	}
	residual := value - m.mean
	clip := clipSpreads * m.spread
	clipped := max(-clip, min(clip, residual))
	switch {
	case weight < changeWeight:
	case residual > clip:
		m.run = max(1, m.run+1)
	case residual < -clip:
		m.run = min(-1, m.run-1)
	default:
		m.run = 0
	}
	m.spread = max(minSpread, min(maxSpread, m.spread+spreadWeight*weight*(math.Abs(clipped)-m.spread)))
	run := max(m.run, -m.run)
	if run >= changeRun && weight >= changeWeight {
		n = min(n, changeEvidence)
	}
	if run > 1 && weight >= changeWeight {
		clip *= float64(int(1) << min(run-1, 6))
		clipped = max(-clip, min(clip, residual))
	}
	m.mean += clipped * weight / (n + weight)
	m.evidence = min(limit, n+weight)
}

// merge adds the evidence of another mean.
func (m *robustMean) merge(at time.Duration, other robustMean, limit float64, window time.Duration) {
	n := m.decayed(at, window)
	if n < negligibleEvidence {
		other.updated = at
		other.evidence = min(limit, other.evidence)
		*m = other
		return
	}
	share := other.evidence / (n + other.evidence)
	m.mean += share * (other.mean - m.mean)
	m.spread += share * (other.spread - m.spread)
	m.evidence, m.updated = min(limit, n+other.evidence), at
}
