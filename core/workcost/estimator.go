package workcost

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// forgotten is the evidence below which what was learned is not used any more.
const forgotten = 0.05

// Config holds the limits and time constants of an Estimator.
type Config struct {
	// MaxKinds bounds the kinds of all levels that are remembered; the least recently used
	// one is evicted. MaxKindsPerOrganisation bounds those of one organisation, so that it
	// does not evict the kinds of others.
	MaxKinds, MaxKindsPerOrganisation int
	// MaxEndpoints bounds the endpoints that are remembered.
	MaxEndpoints int
	// CostWindow and PaceWindow are the time constants with which the evidence of costs and of
	// paces decays.
	CostWindow, PaceWindow time.Duration
	// MaxEvidence bounds the evidence of a kind, and MaxPaceEvidence that of an endpoint. It
	// is the inverse of the smallest step.
	MaxEvidence, MaxPaceEvidence float64
}

// DefaultConfig returns the configuration that entry VMs use.
func DefaultConfig() Config {
	return Config{
		MaxKinds: 4096, MaxKindsPerOrganisation: 512, MaxEndpoints: 8192,
		CostWindow: 4 * time.Second, PaceWindow: 2 * time.Second, MaxEvidence: 24, MaxPaceEvidence: 8,
	}
}

// Observation is a request that an endpoint has served.
type Observation struct {
	Kind     Kind
	Endpoint string
	// Incarnation distinguishes successive starts of the endpoint; a later one starts without
	// a pace.
	Incarnation int64
	// Took is the time from the placement to the end of the response.
	Took time.Duration
}

// Estimate is the expected time of a kind of request at an endpoint of usual speed.
type Estimate struct {
	// Mean is a robust mean; zero if nothing is known.
	Mean time.Duration
	// Evidence is the number of recent requests of the wider kinds and this one on which the
	// estimate is based, decayed; zero for none.
	Evidence float64
}

// Pace is the speed of an endpoint relative to the median of its service's endpoints.
type Pace struct {
	// Factor is 1 for the usual speed, and 5 for an endpoint that takes five times as long.
	Factor float64
	// Evidence is the number of recent requests on which it is based, decayed.
	Evidence float64
	// LastSeen is when the last request of the endpoint was observed; zero for never.
	LastSeen time.Time
}

// node is what is known of a kind at one level.
type node struct {
	key    key
	cost   robustMean
	parent *node
	group  *group
	// uses is the number of recent observations, decayed to cost.updated, without a bound.
	uses float64
	// between is the mean absolute difference of the narrower kinds to this one, in log units.
	between float64
	// all and own are the positions in the lists of all kinds and of those of the organisation.
	all, own links
}

// group is what the kinds and endpoints of one service share.
type group struct {
	// offset is added to all costs of the service: it takes up what its endpoints have in
	// common, so that the median of their paces is 0 in log units.
	offset float64
	paces  []*pace
	// sinceCentred counts the observations since the last call of centre.
	sinceCentred int
	kinds        int
}

type pace struct {
	robustMean
	endpoint    string
	incarnation int64
	group       *group
	service     string
	// seen is when a request of the endpoint was last observed.
	seen time.Time
}

// Estimator learns costs and paces. It is not safe for concurrent use.
type Estimator struct {
	cfg           Config
	kinds         map[key]*node
	recent        list
	organisations map[string]*list
	groups        map[string]*group
	paces         map[string]*pace
}

// New returns an Estimator that knows nothing.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg: cfg, kinds: make(map[key]*node), organisations: make(map[string]*list),
		groups: make(map[string]*group), paces: make(map[string]*pace),
	}
}

// Kinds returns the number of kinds of all levels that are remembered.
func (s *Estimator) Kinds() int { return len(s.kinds) }

// Observe learns from a request that was served.
func (s *Estimator) Observe(now time.Time, o Observation) {
	if o.Took <= 0 {
		return
	}
	n := s.node(key{Kind: o.Kind})
	g := n.group
	p := s.pace(o, g)
	value := math.Log(float64(o.Took)) - g.offset
	if known := s.evident(now, n); known != nil {
		// Kinds whose requests vary say little about the endpoint.
		expected, _ := s.estimate(now, known)
		relative := known.cost.spread / usualSpread
		slowness := p.effective(now, s.cfg.PaceWindow)
		s.observePace(now, p, value-expected, 1/(1+relative*relative))
		s.observeCost(now, n, value-slowness)
	} else {
		s.observeCost(now, n, value-p.effective(now, s.cfg.PaceWindow))
		p.seen = now
	}
	g.sinceCentred++
	if g.sinceCentred >= max(16, len(g.paces)) {
		g.centre(now, s.cfg.PaceWindow)
	}
}

// usualSpread is the spread of a kind, in log units, whose requests count half for the pace of
// their endpoints.
const usualSpread = 0.5

// evident returns the narrowest of the kind and the wider ones of which a request was observed
// recently; nil for none.
func (s *Estimator) evident(now time.Time, n *node) *node {
	for n != nil && n.cost.decayed(now, s.cfg.CostWindow) < 1 {
		n = n.parent
	}
	return n
}

// observeCost moves the kind and the wider ones. An organisation's requests count in the wider
// kinds by the inverse of how many of them there were recently: each organisation moves them
// about as much as any other, however many requests it sends.
func (s *Estimator) observeCost(now time.Time, n *node, value float64) {
	n.uses = n.uses*decay(now.Sub(n.cost.updated), s.cfg.CostWindow) + 1
	weight := 1 / n.uses
	n.cost.add(now, value, 1, s.cfg.MaxEvidence, s.cfg.CostWindow)
	for child := n; child.parent != nil; child = child.parent {
		p := child.parent
		p.cost.add(now, value, weight, s.cfg.MaxEvidence, s.cfg.CostWindow)
		p.between += spreadWeight * (math.Abs(child.cost.mean-p.cost.mean) - p.between)
	}
}

func (s *Estimator) observePace(now time.Time, p *pace, value, weight float64) {
	p.seen = now
	if p.decayed(now, s.cfg.PaceWindow) < forgotten {
		// An endpoint that nothing is known of is of usual speed until several requests say
		// otherwise.
		p.robustMean = robustMean{spread: initialSpread, evidence: 1, updated: now}
	}
	p.add(now, value, weight, s.cfg.MaxPaceEvidence, s.cfg.PaceWindow)
}

// paceShrinkage is the evidence with which half of an endpoint's pace counts.
const paceShrinkage = 0.5

// effective returns the pace in log units, which goes to 0 as its evidence decays.
func (p *pace) effective(now time.Time, window time.Duration) float64 {
	n := p.decayed(now, window)
	if n < forgotten {
		return 0
	}
	return p.mean * n / (n + paceShrinkage)
}

// centre moves what the paces of a service have in common to its offset.
func (g *group) centre(now time.Time, window time.Duration) {
	g.sinceCentred = 0
	values := make([]float64, 0, len(g.paces))
	for _, p := range g.paces {
		if p.decayed(now, window) >= paceShrinkage {
			values = append(values, p.mean)
		}
	}
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	// Of two endpoints, or two halves, the faster one is of usual speed.
	median := values[(len(values)-1)/2]
	g.offset += median
	for _, p := range g.paces {
		p.mean -= median
	}
}

const (
	// minShrinkage and maxShrinkage bound the evidence with which a kind and the wider one
	// count half each.
	minShrinkage, maxShrinkage = 0.02, 4
	// sameKinds is the difference between kinds, in log units, below which they are taken for
	// one.
	sameKinds = 0.05
)

// estimate returns the shrinkage estimate of a kind, in log units without the offset of its
// service: it moves from that of the wider kind to that of this one by how much evidence this
// one has, compared with how much its requests vary and how much such kinds differ.
func (s *Estimator) estimate(now time.Time, n *node) (value, evidence float64) {
	own := n.cost.decayed(now, s.cfg.CostWindow)
	if own < forgotten {
		own = 0
	}
	if n.parent == nil {
		return n.cost.mean, own
	}
	wide, wideEvidence := s.estimate(now, n.parent)
	if wideEvidence == 0 {
		return n.cost.mean, own
	}
	ratio := n.cost.spread / max(sameKinds, n.parent.between)
	shrinkage := max(minShrinkage, min(maxShrinkage, ratio*ratio))
	share := own / (own + shrinkage)
	return wide + share*(n.cost.mean-wide), max(own, wideEvidence)
}

// Cost returns the expected cost of a kind. If the kind is not known, it is that of the
// narrowest wider kind.
func (s *Estimator) Cost(now time.Time, k Kind) Estimate {
	n := s.known(key{Kind: k})
	if n == nil {
		return Estimate{}
	}
	value, evidence := s.estimate(now, n)
	if evidence == 0 {
		return Estimate{}
	}
	return Estimate{Mean: duration(value + n.group.offset), Evidence: evidence}
}

// maxLog is the logarithm of the longest cost, in ns, that is returned: an hour.
var maxLog = math.Log(float64(time.Hour))

func duration(logarithm float64) time.Duration {
	return time.Duration(math.Exp(min(logarithm, maxLog)))
}

// Pace returns the pace of an endpoint.
func (s *Estimator) Pace(now time.Time, endpoint string) Pace {
	p := s.paces[endpoint]
	if p == nil {
		return Pace{Factor: 1}
	}
	return Pace{
		Factor: math.Exp(p.effective(now, s.cfg.PaceWindow)), Evidence: p.decayed(now, s.cfg.PaceWindow), LastSeen: p.seen,
	}
}

// known returns the narrowest known kind.
func (s *Estimator) known(k key) *node {
	for {
		if n := s.kinds[k]; n != nil {
			return n
		}
		if k.level == levels-1 {
			return nil
		}
		k = k.widen()
	}
}

// node returns the kind, which it adds if it is not known, and marks it and the wider ones as
// used.
func (s *Estimator) node(k key) *node {
	n := s.kinds[k]
	if n == nil {
		n = s.addNode(k)
	}
	// The wider kinds are marked last, so that they are evicted after all narrower ones.
	for m := n; m != nil; m = m.parent {
		s.recent.toFront(m, func(m *node) *links { return &m.all })
	}
	if n.key.level == 0 {
		s.organisations[k.Organisation].toFront(n, func(m *node) *links { return &m.own })
	}
	return n
}

func (s *Estimator) addNode(k key) *node {
	n := &node{key: k, cost: robustMean{spread: initialSpread}, between: initialSpread}
	if k.level < levels-1 {
		n.parent = s.node(k.widen())
		n.group = n.parent.group
	} else {
		n.group = s.groupOf(k.Service)
	}
	n.group.kinds++
	if k.level == 0 {
		own := s.organisations[k.Organisation]
		if own == nil {
			own = &list{}
			s.organisations[k.Organisation] = own
		}
		if own.length >= s.cfg.MaxKindsPerOrganisation {
			s.evict(own.last)
			own = s.organisation(k.Organisation)
		}
		own.pushFront(n, func(m *node) *links { return &m.own })
	}
	s.kinds[k] = n
	s.recent.pushFront(n, func(m *node) *links { return &m.all })
	for len(s.kinds) > s.cfg.MaxKinds {
		s.evict(s.recent.last)
	}
	return n
}

func (s *Estimator) organisation(name string) *list {
	if s.organisations[name] == nil {
		s.organisations[name] = &list{}
	}
	return s.organisations[name]
}

func (s *Estimator) evict(n *node) {
	delete(s.kinds, n.key)
	s.recent.remove(n, func(m *node) *links { return &m.all })
	n.group.kinds--
	if n.group.kinds == 0 && len(n.group.paces) == 0 {
		delete(s.groups, n.key.Service)
	}
	if n.key.level > 0 {
		return
	}
	own := s.organisations[n.key.Organisation]
	own.remove(n, func(m *node) *links { return &m.own })
	if own.length == 0 {
		delete(s.organisations, n.key.Organisation)
	}
}

func (s *Estimator) groupOf(service string) *group {
	g := s.groups[service]
	if g == nil {
		g = &group{}
		s.groups[service] = g
	}
	return g
}

// pace returns the pace of the endpoint of an observation.
func (s *Estimator) pace(o Observation, g *group) *pace {
	p := s.paces[o.Endpoint]
	if p != nil && p.group != g {
		s.forget(p)
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
		p.robustMean, p.incarnation = robustMean{}, o.Incarnation
	}
	return p
}

// evictPace forgets the endpoints that were not observed for longest, an eighth of all.
func (s *Estimator) evictPace() {
	all := make([]*pace, 0, len(s.paces))
	for _, p := range s.paces {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pace) int {
		return cmp.Or(a.seen.Compare(b.seen), cmp.Compare(a.endpoint, b.endpoint))
	})
	s.forget(all[:max(1, len(all)/8)]...)
}

func (s *Estimator) forget(paces ...*pace) {
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
