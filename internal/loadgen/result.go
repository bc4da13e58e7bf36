package loadgen

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result holds the measurements of one run.
type Result struct {
	Name      string    `json:"name"`
	Seed      uint64    `json:"seed"`
	StartedAt time.Time `json:"started_at"`
	ElapsedMs int64     `json:"elapsed_ms"`
	Planned   int       `json:"planned"`
	Totals    Counts    `json:"totals"`
	// Classes has a group for each class, over all organisations.
	Classes []Group `json:"classes"`
	// Organisations has a group for each class and organisation.
	Organisations []Group `json:"organisations"`
}

// Counts counts requests by outcome; each request has exactly one.
type Counts struct {
	Requests int `json:"requests"`
	// Complete counts answers that were complete and, if checked, correct.
	Complete int `json:"whole"`
	// Failed counts requests that were answered with a failure.
	Failed int `json:"failed"`
	// Broken counts answers that were truncated, could not be read or never came.
	Broken int `json:"broken"`
	// Wrong counts complete answers that differed from that of the oracle or, for
	// a repeated call, from the first answer.
	Wrong int `json:"wrong"`
	// Skipped counts requests that were not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
}

// CodeCount is the number of failures with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// Group summarises the requests of a class, or of a class and an organisation.
// Total covers complete answers only.
type Group struct {
	Class         string      `json:"class"`
	Organisation  string      `json:"organisation,omitempty"`
	Counts        Counts      `json:"counts"`
	Codes         []CodeCount `json:"codes,omitempty"`
	FirstToken    Quantiles   `json:"first_token"`
	BetweenTokens Quantiles   `json:"between_tokens"`
	Total         Quantiles   `json:"total"`
}

// Class returns the group of the class, or an empty group if there is none.
func (r *Result) Class(name string) Group {
	for _, g := range r.Classes {
		if g.Class == name {
			return g
		}
	}
	return Group{Class: name}
}

// AnswersValid reports whether no answer was broken or wrong.
func (r *Result) AnswersValid() bool { return r.Totals.Broken+r.Totals.Wrong == 0 }

// ReadResult reads a result file.
func ReadResult(file string) (Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Result{}, errors.WithStack(err)
	}
	var r Result
	return r, errors.WithStack(json.Unmarshal(data, &r))
}

// groupKey identifies a group; an empty organisation stands for all of them.
type groupKey struct{ class, organisation string }

// groupStats accumulates the measurements of a Group.
type groupStats struct {
	counts     Counts
	codes      map[string]int
	firstToken histogram
	between    histogram
	total      histogram
}

func newGroupStats() *groupStats {
	return &groupStats{
		codes:      make(map[string]int),
		firstToken: newHistogram(),
		between:    newHistogram(),
		total:      newHistogram(),
	}
}

// collector accumulates outcomes. It is safe for concurrent use.
type collector struct {
	mu     sync.Mutex
	totals Counts
	groups map[groupKey]*groupStats
}

func newCollector() *collector { return &collector{groups: make(map[groupKey]*groupStats)} }

// add counts an outcome for its class, and for its class and organisation.
func (c *collector) add(it *plannedRequest, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.add(o)
	for _, k := range []groupKey{{it.class(), ""}, {it.class(), it.organisation.Name}} {
		g := c.groups[k]
		if g == nil {
			g = newGroupStats()
			c.groups[k] = g
		}
		g.add(o)
	}
}

func (c *Counts) add(o outcome) {
	c.Requests++
	switch o.status {
	case statusComplete:
		c.Complete++
	case statusFailed:
		c.Failed++
	case statusWrong:
		c.Wrong++
	case statusSkipped:
		c.Skipped++
	default:
		c.Broken++
	}
}

func (g *groupStats) add(o outcome) {
	g.counts.add(o)
	if o.code != "" {
		g.codes[o.code]++
	}
	if o.firstToken > 0 {
		g.firstToken.record(o.firstToken)
	}
	for _, d := range o.between {
		g.between.record(d)
	}
	if o.status == statusComplete {
		g.total.record(o.total)
	}
}

func (g *groupStats) summarise(k groupKey) Group {
	r := Group{
		Class:         k.class,
		Organisation:  k.organisation,
		Counts:        g.counts,
		FirstToken:    g.firstToken.quantiles(),
		BetweenTokens: g.between.quantiles(),
		Total:         g.total.quantiles(),
	}
	for code, n := range g.codes {
		r.Codes = append(r.Codes, CodeCount{code, n})
	}
	sort.Slice(r.Codes, func(i, j int) bool { return r.Codes[i].Code < r.Codes[j].Code })
	return r
}

// fill sets the totals and the sorted groups of the result.
func (c *collector) fill(r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Totals = c.totals
	for k, g := range c.groups {
		if k.organisation == "" {
			r.Classes = append(r.Classes, g.summarise(k))
			continue
		}
		r.Organisations = append(r.Organisations, g.summarise(k))
	}
	byName := func(list []Group) func(i, j int) bool {
		return func(i, j int) bool {
			if list[i].Class != list[j].Class {
				return list[i].Class < list[j].Class
			}
			return list[i].Organisation < list[j].Organisation
		}
	}
	sort.Slice(r.Classes, byName(r.Classes))
	sort.Slice(r.Organisations, byName(r.Organisations))
}
