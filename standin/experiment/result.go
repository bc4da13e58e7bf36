package experiment

import (
	"math"
	"slices"
	"time"
)

// ClassResult is what became of the prompts of one class.
type ClassResult struct {
	Count int
	// Refused, Late and InTime count the prompts; those that were admitted and
	// not whole by their deadline are late.
	Refused, Late, InTime int
	// RefusedServable are those refused that the oracle saw a way to serve.
	RefusedServable int
	// P50, P95 and P99 are of the time to the first token of what was not
	// refused; a prompt that never had one counts with its whole time limit.
	P50, P95, P99 time.Duration
}

// Result is what became of the prompts of a cell, by class.
type Result struct {
	Classes [classes]ClassResult
	// InTimeTokens are the prompt tokens of the requests that were whole in
	// their time, and Tokens those of all.
	InTimeTokens, Tokens int64
	// Large and Small are the requests of large and of small organisations.
	Large, Small Outcome
}

// Outcome counts requests.
type Outcome struct{ Count, InTime int }

// Share is the part that was whole in its time.
func (o Outcome) Share() float64 { return float64(o.InTime) / float64(max(1, o.Count)) }

// LateShare is the part of the admitted requests that were not whole in their
// time.
func (r *Result) LateShare() float64 {
	late, admitted := 0, 0
	for _, c := range r.Classes {
		late += c.Late
		admitted += c.Count - c.Refused
	}
	return float64(late) / float64(max(1, admitted))
}

// ServableShare is the part of all requests that were refused though the oracle
// saw a way to serve them.
func (r *Result) ServableShare() float64 {
	servable, all := 0, 0
	for _, c := range r.Classes {
		servable += c.RefusedServable
		all += c.Count
	}
	return float64(servable) / float64(max(1, all))
}

// Goodput is the share of the requests that were whole in their time.
func (r *Result) Goodput() float64 {
	in, all := 0, 0
	for _, c := range r.Classes {
		in += c.InTime
		all += c.Count
	}
	return float64(in) / float64(max(1, all))
}

// RefusedShare is the share of the requests that were refused.
func (r *Result) RefusedShare() float64 {
	refused, all := 0, 0
	for _, c := range r.Classes {
		refused += c.Refused
		all += c.Count
	}
	return float64(refused) / float64(max(1, all))
}

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

// quantile reads the nearest rank from sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, i)]
}
