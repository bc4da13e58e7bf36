package placement

const (
	// forgettingFactor discounts older observations, so that the estimate follows
	// a change of the endpoint within a few hundred prompts.
	forgettingFactor = 0.99
	// initialVariance is the variance of the initial estimate.
	initialVariance = 0.1
	// runningUnit scales the number of running sequences to a value around one.
	runningUnit = 16
	minSlowdown = 0.5
	maxSlowdown = 4
	// maxResidual bounds the residual of one observation, so that a stalled
	// prefill does not distort the estimate.
	maxResidual = 0.5
	// initialInterference is the initial estimate of the time that runningUnit
	// running sequences add to a prefill, relative to its time alone.
	initialInterference = 0.1
)

// speed estimates the ratio of a prefill's time to its nominal time: a constant,
// plus a part proportional to the number of running sequences. It is a recursive
// least squares estimator with exponential forgetting.
type speed struct {
	constant, perUnit float64
	// p00, p01 and p11 are the symmetric covariance matrix.
	p00, p01, p11 float64
}

func newSpeed() speed {
	return speed{constant: 1, perUnit: initialInterference, p00: initialVariance, p11: initialVariance}
}

// slowdown returns the predicted ratio of a prefill's time to its nominal time.
func (s *speed) slowdown(running int) float64 {
	x := float64(running) / runningUnit
	return min(max(s.constant+s.perUnit*x, minSlowdown), maxSlowdown)
}

// observe updates the estimate with the measured ratio of a prefill's time to its
// nominal time.
func (s *speed) observe(ratio float64, running int) {
	x := float64(running) / runningUnit
	g0 := s.p00 + s.p01*x
	g1 := s.p01 + s.p11*x
	den := forgettingFactor + g0 + g1*x
	residual := min(max(ratio-s.constant-s.perUnit*x, -maxResidual), maxResidual)
	s.constant = min(max(s.constant+g0/den*residual, minSlowdown), maxSlowdown)
	s.perUnit = max(0, s.perUnit+g1/den*residual)
	// Forgetting would inflate the covariance while the input does not vary
	// (estimator wind-up), so its diagonal is capped.
	s.p00 = min((s.p00-g0*g0/den)/forgettingFactor, initialVariance)
	s.p01 = (s.p01 - g0*g1/den) / forgettingFactor
	s.p11 = min((s.p11-g1*g1/den)/forgettingFactor, initialVariance)
	bound := s.p00 * s.p11
	if s.p01*s.p01 > bound {
		s.p01 = 0
	}
}
