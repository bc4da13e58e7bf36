package placement

const (
	// speedForget weighs older observations down, so that a changed endpoint is
	// learnt again within some hundred prompts.
	speedForget = 0.99
	// speedPrior is the variance of the first guess.
	speedPrior = 0.1
	// runningUnit scales the number of running sequences to about one.
	runningUnit = 16
	minSlowness = 0.5
	maxSlowness = 4
	// maxResidual bounds what one observation moves, so that a stall does not
	// wreck the estimate.
	maxResidual = 0.5
	// interferenceGuess is the first guess of what runningUnit running
	// sequences add to the time of a prefill, relative to the time alone.
	interferenceGuess = 0.1
)

// speed learns how much longer a prefill takes than the nominal rate says: a
// constant, and a part that grows with the number of running sequences. It is a
// recursive least squares estimate with forgetting.
type speed struct {
	constant, perRunning float64
	// The covariance, symmetric.
	p00, p01, p11 float64
}

func newSpeed() speed {
	return speed{constant: 1, perRunning: interferenceGuess, p00: speedPrior, p11: speedPrior}
}

// slowness is the predicted ratio of a prefill's time to its nominal time.
func (s *speed) slowness(running int) float64 {
	x := float64(running) / runningUnit
	return min(max(s.constant+s.perRunning*x, minSlowness), maxSlowness)
}

// observe takes the ratio of a prefill's time to its nominal time.
func (s *speed) observe(ratio float64, running int) {
	x := float64(running) / runningUnit
	g0 := s.p00 + s.p01*x
	g1 := s.p01 + s.p11*x
	den := speedForget + g0 + g1*x
	residual := min(max(ratio-s.constant-s.perRunning*x, -maxResidual), maxResidual)
	s.constant = min(max(s.constant+g0/den*residual, minSlowness), maxSlowness)
	s.perRunning = max(0, s.perRunning+g1/den*residual)
	// The covariance is kept from growing where nothing excites it.
	s.p00 = min((s.p00-g0*g0/den)/speedForget, speedPrior)
	s.p01 = (s.p01 - g0*g1/den) / speedForget
	s.p11 = min((s.p11-g1*g1/den)/speedForget, speedPrior)
	bound := s.p00 * s.p11
	if s.p01*s.p01 > bound {
		s.p01 = 0
	}
}
