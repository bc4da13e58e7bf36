package hedging

const (
	// meanWeight is the weight of one observation, and meanEvidence the number of them from
	// which the mean is used.
	meanWeight   = 1.0 / 16
	meanEvidence = 8
	// maxStretch bounds an observation as a multiple of the mean, so that the one call in a
	// hundred that takes five times as long moves it little.
	maxStretch = 2
	// tailShare is the share of observations above the high quantile, and quantileStep the part by
	// which one of them raises it. With 0.1, a twentyfold spread is followed within 31 of them.
	tailShare    = 0.005
	quantileStep = 0.1
)

// Statistics has a robust mean and a high quantile of times, or of their ratios to predictions. It is
// not safe for concurrent use.
type Statistics struct {
	mean, high float64
	count      int
}

// Observe records one value.
func (u *Statistics) Observe(value float64) {
	u.count++
	if u.count == 1 {
		u.mean, u.high = value, value
		return
	}
	u.mean += max(meanWeight, 1/float64(u.count)) * (min(value, maxStretch*u.mean) - u.mean)
	if value > u.high {
		u.high *= 1 + quantileStep
	} else {
		u.high *= 1 - quantileStep*tailShare
	}
}

// Mean returns a robust mean, which follows changes though single large values count little; zero
// while there is too little evidence.
func (u *Statistics) Mean() float64 {
	if u.count < meanEvidence {
		return 0
	}
	return u.mean
}

// HighQuantile returns the value that about one observation in 200 exceeds; zero while there is too
// little evidence.
func (u *Statistics) HighQuantile() float64 {
	if u.count < meanEvidence {
		return 0
	}
	return u.high
}
