package workcost

import (
	"cmp"
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
	// Evidence the number of recent requests.
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
// evidence, and the endpoints that differ most from the usual speed.
func (s *Estimator) Summary(now time.Time, service string) Summary {
	g := s.groups[service]
	if g == nil {
		return Summary{}
	}
	at := s.since(now)
	var sum Summary
	for k, n := range s.kinds {
		evidence := n.cost.decayed(at, s.cfg.CostWindow)
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
		pace := s.Pace(now, p.endpoint)
		if pace.Evidence >= negligibleEvidence && math.Abs(pace.Factor-1) > minPaceDifference {
			sum.Paces = append(sum.Paces, PaceSummary{p.endpoint, p.incarnation, math.Exp(p.mean), pace.Evidence})
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

// Merge adds what another Estimator knows of a service. Entries beyond the bounds of a summary
// and those that are out of range are ignored.
func (s *Estimator) Merge(now time.Time, service string, sum Summary) {
	at := s.since(now)
	for _, k := range sum.Kinds[:min(len(sum.Kinds), MaxSummaryKinds)] {
		id := key{k.Kind, k.Level}
		if k.Kind.Service != service || k.Level >= levels || !id.valid() || !inRange(k.Evidence, negligibleEvidence, math.MaxFloat32) ||
			!inRange(k.Spread, 0, math.MaxFloat32) || !inRange(float64(k.Mean), 1, float64(time.Hour)) {
			continue
		}
		n := s.entry(id)
		n.cost.merge(at, robustMean{
			mean: math.Log(float64(k.Mean)) - n.group.offset, spread: max(minSpread, min(maxSpread, k.Spread)),
			evidence: min(k.Evidence, s.cfg.MaxEvidence),
		}, s.cfg.MaxEvidence, s.cfg.CostWindow)
	}
	for _, p := range sum.Paces[:min(len(sum.Paces), MaxSummaryPaces)] {
		if !inRange(p.Factor, 0.01, 100) || !inRange(p.Evidence, negligibleEvidence, math.MaxFloat32) {
			continue
		}
		known := s.pace(Observation{Kind: Kind{Service: service}, Endpoint: p.Endpoint, Incarnation: p.Incarnation}, s.groupOf(service))
		if known.service != service || known.incarnation != p.Incarnation {
			continue
		}
		known.merge(at, robustMean{
			mean: math.Log(p.Factor), spread: initialSpread, evidence: min(p.Evidence, s.cfg.MaxPaceEvidence),
		}, s.cfg.MaxPaceEvidence, s.cfg.PaceWindow)
	}
}

func inRange(x, least, most float64) bool { return x >= least && x <= most }
