package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// promise names what a checker watches over.
type promise string

const (
	wholeAnswer  promise = "whole answer to its own request"
	atMostOnce   promise = "at most once"
	notRun       promise = "refused means not run"
	leavingAlone promise = "no request to an endpoint that left"
	plannedStop  promise = "nothing cut by a planned stop"
	neverBack    promise = "configuration never back"
	recovery     promise = "served again after the faults"
)

// promises are all of them, in the order of the summary.
var promises = []promise{wholeAnswer, atMostOnce, notRun, leavingAlone, plannedStop, neverBack, recovery}

// outcome is what a caller saw of one request.
type outcome struct {
	vm      string
	attempt string
	path    string
	sent    time.Time
	ended   time.Time
	status  int
	body    string
	// complete is false if the response was cut or there was none.
	complete bool
}

func (o outcome) once() bool { return strings.HasPrefix(o.path, "/once/") }

// checkers compare what callers and endpoints saw with what is promised.
type checkers struct {
	mu         sync.Mutex
	runs       map[string][]platformtest.Run
	refused    map[string]bool
	checked    map[promise]int
	violations []string
	// left maps endpoints to the time from which they must get no request.
	left map[string]time.Time
	// stops are the planned stops, and disturbed the times of other faults of VMs.
	stops     []span
	disturbed []span
	cut       []outcome
	// seen maps an incarnation of a VM to the latest configuration seen in force there.
	seen map[string]int
	// faultsEnd is when the last fault has ended; zero before.
	faultsEnd time.Time
	late      []outcome
}

// span is a time in which something happened to a VM; all VMs if it is empty.
type span struct {
	vm       string
	from, to time.Time
}

func newCheckers() *checkers {
	return &checkers{
		runs: make(map[string][]platformtest.Run), refused: make(map[string]bool), checked: make(map[promise]int),
		left: make(map[string]time.Time), seen: make(map[string]int),
	}
}

func (c *checkers) violate(p promise, format string, args ...any) {
	c.violations = append(c.violations, string(p)+": "+fmt.Sprintf(format, args...))
}

// ran records the begin of a run at an endpoint.
func (c *checkers) ran(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Attempt] = append(c.runs[r.Attempt], r)
	once := strings.HasPrefix(r.Path, "/once/")
	if once {
		c.checked[atMostOnce]++
		if n := len(c.runs[r.Attempt]); n > 1 {
			c.violate(atMostOnce, "%s ran %d times", r.Attempt, n)
		}
	}
	if once && c.refused[r.Attempt] {
		c.violate(notRun, "%s ran after it was refused", r.Attempt)
	}
	if left, ok := c.left[r.Endpoint]; ok {
		c.checked[leavingAlone]++
		if r.At.After(left) {
			c.violate(leavingAlone, "%s ran at %s %s after it had left", r.Attempt, r.Endpoint, r.At.Sub(left))
		}
	}
}

// leaves records that an endpoint must get no request from a time on.
func (c *checkers) leaves(endpoint string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[endpoint] = from
}

// ended records what a caller saw.
func (c *checkers) ended(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.complete && o.status == http.StatusOK {
		c.checked[wholeAnswer]++
		if want := expectedBody(o); o.body != want {
			c.violate(wholeAnswer, "%s got %q", o.attempt, o.body)
		}
	}
	if o.once() && o.complete && impliesNotRun(o.status) {
		c.checked[notRun]++
		c.refused[o.attempt] = true
		if len(c.runs[o.attempt]) > 0 {
			c.violate(notRun, "%s was refused with %d and has run", o.attempt, o.status)
		}
	}
	if !o.complete && len(c.runs[o.attempt]) > 0 {
		c.cut = append(c.cut, o)
	}
	if !c.faultsEnd.IsZero() && o.sent.After(c.faultsEnd) {
		c.late = append(c.late, o)
	}
}

func expectedBody(o outcome) string {
	if strings.HasPrefix(o.path, "/stream/") {
		return platformtest.StreamAnswer(o.attempt, streamEvents)
	}
	return platformtest.Answer(o.attempt)
}

func impliesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// probed records whether a VM's incarnation serves the route of a configuration version.
func (c *checkers) probed(incarnation string, version int, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[neverBack]++
	if found {
		c.seen[incarnation] = max(c.seen[incarnation], version)
		return
	}
	if version <= c.seen[incarnation] {
		c.violate(neverBack, "%s no longer serves version %d, it had %d", incarnation, version, c.seen[incarnation])
	}
}

func (c *checkers) addStop(s span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, s)
}

func (c *checkers) addDisturbance(s span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed = append(c.disturbed, s)
}

// endFaults records that no fault is in force any more.
func (c *checkers) endFaults(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEnd = at
}

// finish makes the checks that need the whole run, and returns all violations.
func (c *checkers) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.cut {
		if !overlaps(c.stops, o) {
			continue
		}
		c.checked[plannedStop]++
		if !overlaps(c.disturbed, o) {
			c.violate(plannedStop, "%s on %s was cut", o.attempt, o.vm)
		}
	}
	c.checked[plannedStop] += len(c.stops)
	served := 0
	for _, o := range c.late {
		if o.complete && o.status == http.StatusOK {
			served++
		}
	}
	c.checked[recovery] += len(c.late)
	if served*10 < len(c.late)*9 || len(c.late) == 0 {
		c.violate(recovery, "%d of %d requests served", served, len(c.late))
	}
	return c.violations
}

func overlaps(spans []span, o outcome) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return (s.vm == "" || s.vm == o.vm) && o.sent.Before(s.to) && o.ended.After(s.from)
	})
}
