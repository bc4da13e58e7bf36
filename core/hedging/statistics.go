package hedging

const (
	// meanWeight is the weight of one observation, and meanEvidence the number of them from
	// which the mean is used.
	meanWeight   = 1.0 / 16
	meanEvidence = 8
	// maxStretch bounds an observation as a multiple of the mean, so that the one call in a
	// hundred that takes five times as long moves it little.
	maxStretch = 2
	// rareShare is the share of observations beyond the rare value, and rareStep the part by
	// which one of them raises it. 0.1 follows a twentyfold spread of calls within 31 of them.
	rareShare = 0.005
	rareStep  = 0.1
)

// Usual is what is learned of times, or of their ratios to predictions. It is not safe for
// concurrent use.
type Usual struct {
	mean, rare float64
	count      int
}

// Observe records one value.
func (u *Usual) Observe(value float64) {
	u.count++
	if u.count == 1 {
		u.mean, u.rare = value, value
		return
	}
	u.mean += max(meanWeight, 1/float64(u.count)) * (min(value, maxStretch*u.mean) - u.mean)
	if value > u.rare {
		u.rare *= 1 + rareStep
	} else {
		u.rare *= 1 - rareStep*rareShare
	}
}

// Mean returns a robust mean, which follows changes though single large values count little; zero
// while there is too little evidence.
func (u *Usual) Mean() float64 {
	if u.count < meanEvidence {
		return 0
	}
	return u.mean
}

// Rare returns the value that few observations exceed; zero while there is too little evidence.
func (u *Usual) Rare() float64 {
	if u.count < meanEvidence {
		return 0
	}
	return u.rare
}
