package loadgen

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is the outcome of one run.
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

// Counts says how requests ended; each is counted once.
type Counts struct {
	Requests int `json:"requests"`
	// Whole answers came to their end and, where checked, were right.
	Whole int `json:"whole"`
	// Failed requests got a typed failure.
	Failed int `json:"failed"`
	// Broken answers stopped without their end, or could not be read.
	Broken int `json:"broken"`
	// Wrong answers were whole, but not those of the oracle or, for a repeated
	// call, not those given before.
	Wrong int `json:"wrong"`
	// Skipped requests were never sent: too many were in flight.
	Skipped int `json:"skipped"`
}

// CodeCount counts the failures of a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// Group sums up the requests of a class, or of a class and an organisation.
type Group struct {
	Class        string      `json:"class"`
	Organisation string      `json:"organisation,omitempty"`
	Counts       Counts      `json:"counts"`
	Codes        []CodeCount `json:"codes,omitempty"`
	FirstToken   Quantiles   `json:"first_token"`
	Between      Quantiles   `json:"between_tokens"`
	Total        Quantiles   `json:"total"`
}

// Class returns the group of the class; an empty one if there is none.
func (r *Result) Class(name string) Group {
	for _, g := range r.Classes {
		if g.Class == name {
			return g
		}
	}
	return Group{Class: name}
}

// Sound reports whether no answer was broken or wrong.
func (r *Result) Sound() bool { return r.Totals.Broken+r.Totals.Wrong == 0 }

// ReadResult reads a result file.
func ReadResult(file string) (Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Result{}, errors.WithStack(err)
	}
	var r Result
	return r, errors.WithStack(json.Unmarshal(data, &r))
}

// groupKey names a group.
type groupKey struct{ class, organisation string }

// group collects what a Group sums up.
type group struct {
	counts     Counts
	codes      map[string]int
	firstToken histogram
	between    histogram
	total      histogram
}

func newGroup() *group {
	return &group{
		codes:      make(map[string]int),
		firstToken: newHistogram(),
		between:    newHistogram(),
		total:      newHistogram(),
	}
}

// collector gathers outcomes. It is safe for concurrent use.
type collector struct {
	mu     sync.Mutex
	totals Counts
	groups map[groupKey]*group
}

func newCollector() *collector { return &collector{groups: make(map[groupKey]*group)} }

// add counts an outcome for its class, and for its class and organisation.
func (c *collector) add(it *item, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.add(o)
	for _, k := range []groupKey{{it.class(), ""}, {it.class(), it.organisation.Name}} {
		g := c.groups[k]
		if g == nil {
			g = newGroup()
			c.groups[k] = g
		}
		g.add(o)
	}
}

func (c *Counts) add(o outcome) {
	c.Requests++
	switch o.end {
	case endWhole:
		c.Whole++
	case endFailed:
		c.Failed++
	case endWrong:
		c.Wrong++
	case endSkipped:
		c.Skipped++
	default:
		c.Broken++
	}
}

func (g *group) add(o outcome) {
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
	if o.end == endWhole {
		g.total.record(o.total)
	}
}

func (g *group) result(k groupKey) Group {
	r := Group{
		Class:        k.class,
		Organisation: k.organisation,
		Counts:       g.counts,
		FirstToken:   g.firstToken.quantiles(),
		Between:      g.between.quantiles(),
		Total:        g.total.quantiles(),
	}
	for code, n := range g.codes {
		r.Codes = append(r.Codes, CodeCount{code, n})
	}
	sort.Slice(r.Codes, func(i, j int) bool { return r.Codes[i].Code < r.Codes[j].Code })
	return r
}

// fill writes what was gathered into the result.
func (c *collector) fill(r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Totals = c.totals
	for k, g := range c.groups {
		if k.organisation == "" {
			r.Classes = append(r.Classes, g.result(k))
			continue
		}
		r.Organisations = append(r.Organisations, g.result(k))
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
