package workcost

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxSummaryKinds bounds the kinds of a Summary.
	MaxSummaryKinds = 64
	// MaxSummaryPaces bounds the paces of a Summary.
	MaxSummaryPaces = 64
	// minPaceDifference is the difference to 1 below which the factor of an endpoint's pace is left out
	// of a summary.
	minPaceDifference = 0.1
)

// KindSummary is the cost of a kind at one level.
type KindSummary struct {
	Kind Kind
	// Level is 0 for the full kind; each of the next levels leaves out one more of
	// organisation, size, method and route.
	Level uint8
	// Mean is the cost at usual speed, Spread the mean absolute deviation of its logarithm, and
	// Evidence the number of recent requests of the VM that tells it.
	Mean     time.Duration
	Spread   float64
	Evidence float64
}

// PaceSummary is the pace of an endpoint.
type PaceSummary struct {
	Endpoint    string
	Incarnation int64
	Factor      float64
	Evidence    float64
}

// Summary is what an Estimator knows of a service, for another one.
type Summary struct {
	Kinds []KindSummary
	Paces []PaceSummary
}

// Summary returns what is known of a service: the wider kinds first, then those with the most
// evidence, and the endpoints that differ most from the usual speed. The evidence is that of this
// VM's own requests, as the other VMs tell of theirs themselves.
func (s *Estimator) Summary(now time.Time, service string) Summary {
	g := s.groups[service]
	if g == nil {
		return Summary{}
	}
	at := s.since(now)
	var sum Summary
	for k, n := range s.kinds {
		evidence := min(n.cost.evidence, n.ownEvidence) * decay(at-n.cost.updated, s.cfg.CostWindow)
		if k.Service != service || evidence < negligibleEvidence {
			continue
		}
		sum.Kinds = append(sum.Kinds, KindSummary{
			Kind: k.Kind, Level: k.level, Mean: duration(n.cost.mean + g.offset), Spread: n.cost.spread, Evidence: evidence,
		})
	}
	slices.SortFunc(sum.Kinds, func(a, b KindSummary) int {
		return cmp.Or(
			cmp.Compare(b.Level, a.Level), cmp.Compare(b.Evidence, a.Evidence),
			cmp.Compare(a.Kind.Route, b.Kind.Route), cmp.Compare(a.Kind.Method, b.Kind.Method),
			cmp.Compare(a.Kind.Organisation, b.Kind.Organisation), cmp.Compare(a.Kind.Size, b.Kind.Size),
		)
	})
	sum.Kinds = sum.Kinds[:min(len(sum.Kinds), MaxSummaryKinds)]
	for _, p := range g.paces {
		evidence := min(p.evidence, p.ownEvidence) * decay(at-p.updated, s.cfg.PaceWindow)
		if evidence >= negligibleEvidence && math.Abs(s.Pace(now, p.endpoint).Factor-1) > minPaceDifference {
			sum.Paces = append(sum.Paces, PaceSummary{p.endpoint, p.incarnation, math.Exp(p.mean), evidence})
		}
	}
	slices.SortFunc(sum.Paces, func(a, b PaceSummary) int {
		return cmp.Or(
			cmp.Compare(math.Abs(math.Log(b.Factor)), math.Abs(math.Log(a.Factor))), cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	sum.Paces = sum.Paces[:min(len(sum.Paces), MaxSummaryPaces)]
	return sum
}

// source is a VM and the service that its requests are for.
type source struct{ service, vm string }

// forgetInformed is the number of time constants after which the evidence is gone that was known of a
// source, and maxInformed the number of sources at which they are searched for such.
const (
	forgetInformed = 8
	maxInformed    = 4096
)

// inform records that the requests of a source are known up to a time.
func (s *Estimator) inform(at time.Duration, from source) {
	if _, known := s.informed[from]; !known && len(s.informed) >= maxInformed {
		maps.DeleteFunc(s.informed, func(_ source, since time.Duration) bool {
			return at-since > forgetInformed*s.cfg.CostWindow
		})
	}
	s.informed[from] = at
}

// news returns the share of a VM's evidence that is of requests since a time, if they come at an
// even rate, for evidence that decays with the time constant window.
func news(at, since, window time.Duration) float64 { return 1 - decay(at-since, window) }

// Merge adds what another VM knows of a service by its own requests. Those that are known already count
// only once: this VM has observed them as the holder of the service, or the VM has told of them
// before. Entries beyond the bounds of a summary and those that are out of range are ignored.
func (s *Estimator) Merge(now time.Time, service, vm string, sum Summary) {
	at := s.since(now)
	costNews, paceNews := 1.0, 1.0
	if since, known := s.informed[source{service, vm}]; known {
		costNews, paceNews = news(at, since, s.cfg.CostWindow), news(at, since, s.cfg.PaceWindow)
	}
	s.inform(at, source{service, vm})
	for _, k := range sum.Kinds[:min(len(sum.Kinds), MaxSummaryKinds)] {
		k.Evidence = costNews * min(k.Evidence, s.cfg.MaxEvidence)
		s.mergeKind(at, service, k)
	}
	for _, p := range sum.Paces[:min(len(sum.Paces), MaxSummaryPaces)] {
		p.Evidence = paceNews * min(p.Evidence, s.cfg.MaxPaceEvidence)
		s.mergePace(at, service, p)
	}
}

func (s *Estimator) mergeKind(at time.Duration, service string, k KindSummary) {
	id := key{k.Kind, k.Level}
	if k.Kind.Service != service || k.Level >= levels || !id.valid() || !inRange(k.Evidence, negligibleEvidence, s.cfg.MaxEvidence) ||
		!inRange(k.Spread, 0, math.MaxFloat32) || !inRange(float64(k.Mean), 1, float64(time.Hour)) {
		return
	}
	n := s.entry(id)
	n.advance(at, s.cfg.CostWindow)
	n.cost.merge(at, robustMean{
		mean: math.Log(float64(k.Mean)) - n.group.offset, spread: max(minSpread, min(maxSpread, k.Spread)), evidence: k.Evidence,
	}, s.cfg.MaxEvidence, s.cfg.CostWindow)
}

func (s *Estimator) mergePace(at time.Duration, service string, p PaceSummary) {
	if !inRange(p.Factor, 0.01, 100) || !inRange(p.Evidence, negligibleEvidence, s.cfg.MaxPaceEvidence) {
		return
	}
	known := s.pace(Observation{Kind: Kind{Service: service}, Endpoint: p.Endpoint, Incarnation: p.Incarnation}, s.groupOf(service))
	if known.service != service || known.incarnation != p.Incarnation {
		return
	}
	known.advance(at, s.cfg.PaceWindow)
	known.merge(at, robustMean{mean: math.Log(p.Factor), spread: initialSpread, evidence: p.Evidence}, s.cfg.MaxPaceEvidence, s.cfg.PaceWindow)
}

func inRange(x, least, most float64) bool { return x >= least && x <= most }
