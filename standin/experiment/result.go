package experiment

import (
	"math"
	"slices"
	"time"
)

// ClassResult holds the outcomes of the prompts of one class.
type ClassResult struct {
	Count int
	// Refused, Late and InTime count the prompts by outcome. An admitted prompt
	// whose answer is not complete by its deadline is late.
	Refused, Late, InTime int
	// RefusedServable counts the refused prompts that, by the oracle's
	// estimate, could have met their deadline.
	RefusedServable int
	// P50, P95 and P99 are percentiles of the time to first token of the
	// prompts that were not refused. A prompt without a first token counts with
	// its whole time limit.
	P50, P95, P99 time.Duration
}

// Result holds the outcomes of a cell's prompts.
type Result struct {
	Classes [classes]ClassResult
	// InTimeTokens counts the prompt tokens of the requests completed by their
	// deadline, Tokens those of all requests.
	InTimeTokens, Tokens int64
	// Large and Small count the requests of large and of small organisations.
	Large, Small Outcome
}

// Outcome counts requests, and those completed by their deadline.
type Outcome struct{ Count, InTime int }

// Share is the fraction of the requests that were completed by their deadline.
func (o Outcome) Share() float64 { return float64(o.InTime) / float64(max(1, o.Count)) }

// LateShare is the fraction of the admitted requests that were not completed by
// their deadline.
func (r *Result) LateShare() float64 {
	late, admitted := 0, 0
	for _, c := range r.Classes {
		late += c.Late
		admitted += c.Count - c.Refused
	}
	return float64(late) / float64(max(1, admitted))
}

// ServableShare is the fraction of all requests that were refused although, by
// the oracle's estimate, they could have met their deadline.
func (r *Result) ServableShare() float64 {
	servable, all := 0, 0
	for _, c := range r.Classes {
		servable += c.RefusedServable
		all += c.Count
	}
	return float64(servable) / float64(max(1, all))
}

// Goodput is the fraction of the requests that were completed by their
// deadline.
func (r *Result) Goodput() float64 {
	in, all := 0, 0
	for _, c := range r.Classes {
		in += c.InTime
		all += c.Count
	}
	return float64(in) / float64(max(1, all))
}

// RefusedShare is the fraction of the requests that were refused.
func (r *Result) RefusedShare() float64 {
	refused, all := 0, 0
	for _, c := range r.Classes {
		refused += c.Refused
		all += c.Count
	}
	return float64(refused) / float64(max(1, all))
}

// newResult counts the jobs that arrived after the warm-up.
func newResult(jobs []*job) Result {
	var res Result
	var firstTokenTimes [classes][]time.Duration
	for _, j := range jobs {
		if j.arrival < warmUp {
			continue
		}
		c := &res.Classes[j.class]
		c.Count++
		res.Tokens += j.promptTokens
		outcome := &res.Small
		if j.organisation < largeOrganisations {
			outcome = &res.Large
		}
		outcome.Count++
		switch {
		case j.refused:
			c.Refused++
			if j.servable {
				c.RefusedServable++
			}
			continue
		case j.expired || j.endedAt == 0:
			c.Late++
		default:
			c.InTime++
			outcome.InTime++
			res.InTimeTokens += j.promptTokens
		}
		first := j.firstTokenAt - j.arrival
		if j.firstTokenAt == 0 {
			first = j.deadline - j.arrival
		}
		firstTokenTimes[j.class] = append(firstTokenTimes[j.class], first)
	}
	for i := range firstTokenTimes {
		slices.Sort(firstTokenTimes[i])
		c := &res.Classes[i]
		c.P50 = quantile(firstTokenTimes[i], 0.50)
		c.P95 = quantile(firstTokenTimes[i], 0.95)
		c.P99 = quantile(firstTokenTimes[i], 0.99)
	}
	return res
}

// quantile is the nearest-rank quantile of sorted values; zero if there are
// none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, i)]
}
