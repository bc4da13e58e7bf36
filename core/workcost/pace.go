package workcost

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pace is the time that an endpoint takes relative to the median of its service's endpoints.
type Pace struct {
	// Factor is 1 for the usual speed, and 5 for an endpoint that takes five times as long.
	Factor float64
	// Evidence is the number of recent requests on which it is based, decayed.
	Evidence float64
	// LastSeen is when the last request of the endpoint was observed; zero for never.
	LastSeen time.Time
}

// pace is what is known of an endpoint, as a mean in log units.
type pace struct {
	robustMean
	endpoint    string
	incarnation int64
	group       *group
	service     string
	// seen is when a request of the endpoint was last observed.
	seen time.Time
	// ownEvidence is that of this VM's own requests, decayed to updated, without a bound.
	ownEvidence float64
}

func (s *Estimator) observePace(at time.Duration, p *pace, value, weight float64, own bool) {
	p.advance(at, s.cfg.PaceWindow)
	if p.decayed(at, s.cfg.PaceWindow) < negligibleEvidence {
		// An endpoint without evidence is taken to be of usual speed until several requests say
		// otherwise.
		p.robustMean = robustMean{spread: initialSpread, evidence: 1, updated: at}
	}
	if own {
		p.ownEvidence += weight
	}
	p.add(at, value, weight, s.cfg.MaxPaceEvidence, s.cfg.PaceWindow)
}

// advance decays the evidence to a time.
func (p *pace) advance(at, window time.Duration) {
	if at <= p.updated {
		return
	}
	share := decay(at-p.updated, window)
	p.evidence *= share
	p.ownEvidence *= share
	p.updated = at
}

// paceShrinkage is the evidence with which half of an endpoint's pace counts.
const paceShrinkage = 0.5

// effective returns the pace in log units, which goes to 0 as its evidence decays.
func (p *pace) effective(at, window time.Duration) float64 {
	n := p.decayed(at, window)
	if n < negligibleEvidence {
		return 0
	}
	return p.mean * n / (n + paceShrinkage)
}

// Pace returns the pace of an endpoint.
func (s *Estimator) Pace(now time.Time, endpoint string) Pace {
	p := s.paces[endpoint]
	if p == nil {
		return Pace{Factor: 1}
	}
	at := s.since(now)
	return Pace{Factor: math.Exp(p.effective(at, s.cfg.PaceWindow)), Evidence: p.decayed(at, s.cfg.PaceWindow), LastSeen: p.seen}
}

// pace returns the pace of the endpoint of an observation.
func (s *Estimator) pace(o Observation, g *group) *pace {
	p := s.paces[o.Endpoint]
	if p != nil && p.group != g {
		s.removePaces(p)
		p = nil
	}
	if p == nil {
		if len(s.paces) >= s.cfg.MaxEndpoints {
			s.evictPace()
		}
		p = &pace{endpoint: o.Endpoint, group: g, service: o.Kind.Service, incarnation: o.Incarnation}
		s.paces[o.Endpoint] = p
		g.paces = append(g.paces, p)
	}
	if o.Incarnation > p.incarnation {
		p.robustMean, p.ownEvidence, p.incarnation = robustMean{}, 0, o.Incarnation
	}
	return p
}

// evictPace removes the paces of the endpoints that were not observed for longest, an eighth of all.
func (s *Estimator) evictPace() {
	all := make([]*pace, 0, len(s.paces))
	for _, p := range s.paces {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pace) int {
		return cmp.Or(a.seen.Compare(b.seen), cmp.Compare(a.endpoint, b.endpoint))
	})
	s.removePaces(all[:max(1, len(all)/8)]...)
}

// removePaces removes the paces, and groups that are empty without them.
func (s *Estimator) removePaces(paces ...*pace) {
	changed := make(map[*group]string)
	for _, p := range paces {
		delete(s.paces, p.endpoint)
		changed[p.group] = p.service
	}
	for g, service := range changed {
		g.paces = slices.DeleteFunc(g.paces, func(p *pace) bool { return s.paces[p.endpoint] != p })
		if g.kinds == 0 && len(g.paces) == 0 {
			delete(s.groups, service)
		}
	}
}
