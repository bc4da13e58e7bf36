package workcost

import (
	"math"
	"slices"
	"time"
)

// negligibleEvidence is the evidence below which what was learned is not used any more.
const negligibleEvidence = 0.05

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
	// VM is the other VM whose request it was; empty for a request of this VM.
	VM string
}

// Estimate is the expected time of a kind of request at an endpoint of usual speed.
type Estimate struct {
	// Mean is a robust mean; zero if nothing is known.
	Mean time.Duration
	// Evidence is the number of recent requests of the wider kinds and this one on which the
	// estimate is based, decayed; zero for none.
	Evidence float64
}

// Entry is what an Estimator knows of a kind at one level. Callers keep it to save the look-up of
// the kind.
type Entry struct {
	key    key
	cost   robustMean
	parent *Entry
	group  *group
	// uses is the number of recent observations, decayed to cost.updated, without a bound.
	uses float64
	// ownEvidence is that of this VM's own requests, decayed to cost.updated, without a bound.
	ownEvidence float64
	// between is the mean absolute difference of the narrower kinds to this one, in log units.
	between float64
	// evicted is set once the kind is not remembered any more, and usedAt is the number of kinds that had been
	// added when it was last marked as used.
	evicted bool
	usedAt  int
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

// Estimator learns costs and paces. It is not safe for concurrent use.
type Estimator struct {
	cfg Config
	// epoch is the time since which other times are counted.
	epoch         time.Time
	kinds         map[key]*Entry
	recent        list
	organisations map[string]*list
	groups        map[string]*group
	paces         map[string]*pace
	// informed has up to when the requests of another VM to a service are known.
	informed map[source]time.Duration
	// added counts the kinds that were added.
	added int
}

// New returns an Estimator that knows nothing.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg: cfg, kinds: make(map[key]*Entry), organisations: make(map[string]*list),
		groups: make(map[string]*group), paces: make(map[string]*pace), informed: make(map[source]time.Duration),
	}
}

// Kinds returns the number of kinds of all levels that are remembered.
func (s *Estimator) Kinds() int { return len(s.kinds) }

// since returns the time since the first call.
func (s *Estimator) since(now time.Time) time.Duration {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	return now.Sub(s.epoch)
}

// Observe learns from a request that was served.
func (s *Estimator) Observe(now time.Time, o Observation) { s.ObserveEntry(now, nil, o) }

// ObserveEntry is like Observe, with the entry that Find returned for the kind.
func (s *Estimator) ObserveEntry(now time.Time, n *Entry, o Observation) {
	if o.Took <= 0 {
		return
	}
	at := s.since(now)
	if o.VM != "" {
		s.inform(at, source{o.Kind.Service, o.VM})
	}
	if n == nil || n.evicted || n.key.level > 0 {
		n = s.entry(key{Kind: o.Kind})
	} else {
		s.use(n)
	}
	g := n.group
	p := s.pace(o, g)
	p.seen = now
	for m := n; m != nil; m = m.parent {
		m.advance(at, s.cfg.CostWindow)
	}
	value := math.Log(float64(o.Took)) - g.offset
	slowness := p.effective(at, s.cfg.PaceWindow)
	if known := n.withEvidence(); known != nil {
		// Kinds whose requests vary say little about the endpoint.
		expected, _ := s.estimate(at, known)
		relative := known.cost.spread / halfWeightSpread
		s.observePace(at, p, value-expected, 1/(1+relative*relative), o.VM == "")
	}
	s.observeCost(at, n, value-slowness, o.VM == "")
	g.sinceCentred++
	if g.sinceCentred >= max(16, 2*len(g.paces)) {
		g.centre(at, s.cfg.PaceWindow)
	}
}

// advance decays the evidence to a time.
func (n *Entry) advance(at, window time.Duration) {
	if at <= n.cost.updated {
		return
	}
	share := decay(at-n.cost.updated, window)
	n.cost.evidence *= share
	n.uses *= share
	n.ownEvidence *= share
	n.cost.updated = at
}

// halfWeightSpread is the spread of a kind, in log units, at which its requests count half for the
// pace of their endpoints.
const halfWeightSpread = 0.5

// withEvidence returns the narrowest of the kind and the wider ones of which a request was observed
// recently; nil for none. Their evidence is up to date.
func (n *Entry) withEvidence() *Entry {
	for n != nil && n.cost.evidence < 1 {
		n = n.parent
	}
	return n
}

// observeCost moves the kind and the wider ones. An organisation's requests count in the wider
// kinds by the inverse of how many of them there were recently: each organisation moves them
// about as much as any other, however many requests it sends.
func (s *Estimator) observeCost(at time.Duration, n *Entry, value float64, own bool) {
	n.uses++
	weight := 1 / n.uses
	n.cost.add(at, value, 1, s.cfg.MaxEvidence, s.cfg.CostWindow)
	if own {
		n.ownEvidence++
	}
	for child := n; child.parent != nil; child = child.parent {
		p := child.parent
		p.cost.add(at, value, weight, s.cfg.MaxEvidence, s.cfg.CostWindow)
		if own {
			p.ownEvidence += weight
		}
		p.between += spreadWeight * (math.Abs(child.cost.mean-p.cost.mean) - p.between)
	}
}

// centre moves what the paces of a service have in common to its offset.
func (g *group) centre(at, window time.Duration) {
	g.sinceCentred = 0
	values := make([]float64, 0, len(g.paces))
	for _, p := range g.paces {
		if p.decayed(at, window) >= paceShrinkage {
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
	// minKindDifference is the difference between kinds, in log units, below which they are taken for
	// one.
	minKindDifference = 0.05
)

// estimate returns the shrinkage estimate of a kind, in log units without the offset of its
// service: it moves from that of the wider kind to that of this one by how much evidence this
// one has, compared with how much its requests vary and how much such kinds differ.
func (s *Estimator) estimate(at time.Duration, n *Entry) (value, evidence float64) {
	own := n.cost.decayed(at, s.cfg.CostWindow)
	if own < negligibleEvidence {
		own = 0
	}
	if n.parent == nil {
		return n.cost.mean, own
	}
	wide, wideEvidence := s.estimate(at, n.parent)
	if wideEvidence == 0 {
		return n.cost.mean, own
	}
	ratio := n.cost.spread / max(minKindDifference, n.parent.between)
	shrinkage := max(minShrinkage, min(maxShrinkage, ratio*ratio))
	share := own / (own + shrinkage)
	return wide + share*(n.cost.mean-wide), max(own, wideEvidence)
}

// Cost returns the expected cost of a kind. If the kind is not known, it is that of the
// narrowest wider kind.
func (s *Estimator) Cost(now time.Time, k Kind) Estimate { return s.EntryCost(now, s.Find(k)) }

// Find returns the entry of the narrowest known kind; nil for none.
func (s *Estimator) Find(k Kind) *Entry { return s.known(key{Kind: k}) }

// EntryCost returns the expected cost of the kind of an entry; nothing for nil.
func (s *Estimator) EntryCost(now time.Time, n *Entry) Estimate {
	if n == nil {
		return Estimate{}
	}
	value, evidence := s.estimate(s.since(now), n)
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

// known returns the narrowest known kind.
func (s *Estimator) known(k key) *Entry {
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

// entry returns the entry of a kind, which it adds if it is not known, and marks it as used.
func (s *Estimator) entry(k key) *Entry {
	n := s.kinds[k]
	if n == nil {
		n = s.addEntry(k)
		s.markUsed(n)
	}
	s.use(n)
	return n
}

// reorderDivisor divides MaxKindsPerOrganisation: a kind in use is moved to the front again only after
// more than the quotient of kinds have been added, which saves most of the list operations.
const reorderDivisor = 16

// use marks a kind and the wider ones as used, if kinds have been added since it was marked last.
func (s *Estimator) use(n *Entry) {
	if s.added-n.usedAt > s.cfg.MaxKindsPerOrganisation/reorderDivisor {
		s.markUsed(n)
	}
}

func (s *Estimator) markUsed(n *Entry) {
	n.usedAt = s.added
	if n.key.level == 0 {
		s.organisations[n.key.Organisation].toFront(n, ownLinks)
	}
	// The wider kinds are marked last, so that they are evicted after all narrower ones.
	for ; n != nil; n = n.parent {
		s.recent.toFront(n, allLinks)
	}
}

func (s *Estimator) addEntry(k key) *Entry {
	n := &Entry{key: k, cost: robustMean{spread: initialSpread}, between: initialSpread}
	if k.level < levels-1 {
		n.parent = s.entry(k.widen())
		n.group = n.parent.group
	} else {
		n.group = s.groupOf(k.Service)
	}
	n.group.kinds++
	if k.level == 0 {
		own := s.kindsOf(k.Organisation)
		if own.length >= s.cfg.MaxKindsPerOrganisation {
			s.evict(own.last)
			// evict removes the list if it is empty.
			own = s.kindsOf(k.Organisation)
		}
		own.pushFront(n, ownLinks)
	}
	s.kinds[k] = n
	s.added++
	s.recent.pushFront(n, allLinks)
	for len(s.kinds) > s.cfg.MaxKinds {
		s.evict(s.recent.last)
	}
	return n
}

// kindsOf returns the list of an organisation's kinds, which it adds if there is none.
func (s *Estimator) kindsOf(organisation string) *list {
	own := s.organisations[organisation]
	if own == nil {
		own = &list{}
		s.organisations[organisation] = own
	}
	return own
}

func (s *Estimator) evict(n *Entry) {
	n.evicted = true
	delete(s.kinds, n.key)
	s.recent.remove(n, allLinks)
	n.group.kinds--
	if n.group.kinds == 0 && len(n.group.paces) == 0 {
		delete(s.groups, n.key.Service)
	}
	if n.key.level > 0 {
		return
	}
	own := s.organisations[n.key.Organisation]
	own.remove(n, ownLinks)
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
