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
	evacuation   promise = "no request to an evacuated domain"
	coldSpared   promise = "no more requests to a cold endpoint than it bears"
	limitKept    promise = "no more requests to an endpoint than its limit"
	crashStopped promise = "a request that crashes endpoints is stopped"
	plannedStop  promise = "nothing cut by a planned stop"
	neverBack    promise = "configuration never back"
	firstTries   promise = "first tries served at a VM that is cut off"
	responsive   promise = "each process answers its readiness check"
	stopInTime   promise = "a planned stop ends within the grace period"
	memoryKept   promise = "memory after the faults as before"
	recovery     promise = "served again, and by the latest configuration, after the faults"
)

// promises are all of them, in the order of the summary.
var promises = []promise{wholeAnswer, atMostOnce, notRun, leavingAlone, evacuation, coldSpared, limitKept, crashStopped, plannedStop, neverBack, firstTries, responsive, stopInTime, memoryKept, recovery}

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

// class is the first part of the path.
func (o outcome) class() string {
	class, _, _ := strings.Cut(strings.TrimPrefix(o.path, "/"), "/")
	return class
}

func (o outcome) once() bool { return o.class() == "once" }

// checkers compare what callers and endpoints saw with what is promised.
type checkers struct {
	mu         sync.Mutex
	runs       map[string][]platformtest.Run
	refused    map[string]bool
	checked    map[promise]int
	violations []string
	// left maps endpoints to the time at which they left, domains them to their failure
	// domain, and evacuatedAt the evacuated domains to the time since when they are.
	left        map[string]time.Time
	domains     map[string]string
	evacuatedAt map[string]time.Time
	// stops are the planned stops, and disturbed the times of other faults of VMs.
	stops     []span
	disturbed []span
	cut       []outcome
	// excused are the times in which a VM was restarted, paused or cut off.
	excused []span
	limits  limitRecord
	cold    coldRecord
	crashes crashRecord
	paths   pathRecord
	// processes is what is known of the VMs' processes.
	processes processRecord
	// seen maps an incarnation of a VM to the latest configuration seen in force there.
	seen map[string]int
	// faultsEnd is when the last fault has ended; zero before.
	faultsEnd time.Time
	late      []outcome
	// latencies are those of the requests that were served.
	latencies []latency
}

// latency is the time until a request was served.
type latency struct {
	class string
	ended time.Time
	took  time.Duration
}

// span is a time in which something happened to a VM or an endpoint; to all if it is
// empty.
type span struct {
	vm, endpoint string
	from, to     time.Time
}

func newCheckers() *checkers {
	return &checkers{
		runs: make(map[string][]platformtest.Run), refused: make(map[string]bool), checked: make(map[promise]int),
		left: make(map[string]time.Time), domains: make(map[string]string), evacuatedAt: make(map[string]time.Time),
		seen: make(map[string]int), limits: newLimitRecord(), cold: newColdRecord(), crashes: make(crashRecord), processes: newProcessRecord(),
	}
}

// addViolation adds a violation of no promise.
func (c *checkers) addViolation(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, text)
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
	c.limits.ran(r)
	c.cold.ran(r)
	c.crashes.ran(r)
	c.checkUnwanted(leavingAlone, r, c.left, r.Endpoint)
	c.checkUnwanted(evacuation, r, c.evacuatedAt, c.domains[r.Endpoint])
}

// checkUnwanted checks that a run is not at one of the endpoints, or in one of the
// domains, that were to get no more requests from a time on: the VMs must know within
// leavingBound, or later if the store may have been in trouble.
func (c *checkers) checkUnwanted(p promise, r platformtest.Run, unwanted map[string]time.Time, name string) {
	if len(unwanted) == 0 {
		return
	}
	c.checked[p]++
	at, ok := unwanted[name]
	if !ok {
		return
	}
	quiet := !c.faultsEnd.IsZero() && r.At.After(c.faultsEnd) && r.At.After(at.Add(leavingBound))
	if quiet || r.At.After(at.Add(leavingBound+storeTrouble)) {
		c.violate(p, "%s ran at %s after %s", r.Attempt, r.Endpoint, r.At.Sub(at))
	}
}

// started records the failure domain of an endpoint.
func (c *checkers) started(endpoint, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains[endpoint] = domain
}

// leaves records when an endpoint left.
func (c *checkers) leaves(endpoint string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[endpoint] = at
}

// evacuated records when a failure domain was evacuated.
func (c *checkers) evacuated(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedAt[domain] = at
}

// evacuationEnded records that a failure domain may get requests again.
func (c *checkers) evacuationEnded(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedAt, domain)
}

// ended records what a caller saw.
func (c *checkers) ended(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.complete && o.status == http.StatusOK {
		c.latencies = append(c.latencies, latency{o.class(), o.ended, o.ended.Sub(o.sent)})
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
	c.paths.ended(o)
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

// probed records whether a VM's incarnation serves the route of a configuration version
// that was written before the probe was sent. Some time after the faults it must.
func (c *checkers) probed(incarnation string, version int, found bool, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[neverBack]++
	if found {
		c.seen[incarnation] = max(c.seen[incarnation], version)
		return
	}
	if !c.faultsEnd.IsZero() && sent.After(c.faultsEnd) {
		c.violate(recovery, "%s does not serve version %d", incarnation, version)
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
		if !c.overlaps(c.stops, o) {
			continue
		}
		c.checked[plannedStop]++
		if !c.overlaps(c.disturbed, o) {
			c.violate(plannedStop, "%s on %s was cut", o.attempt, o.vm)
		}
	}
	c.checked[plannedStop] += len(c.stops)
	c.checkLimits()
	c.checkCold()
	c.checkCrashes()
	c.checkPaths()
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

// overlaps reports whether one of the spans concerns the request: its VM, an endpoint at
// which it ran, and its time. The lock is held.
func (c *checkers) overlaps(spans []span, o outcome) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		ran := slices.ContainsFunc(c.runs[o.attempt], func(r platformtest.Run) bool { return r.Endpoint == s.endpoint })
		return (s.vm == "" || s.vm == o.vm) && (s.endpoint == "" || ran) && o.sent.Before(s.to) && o.ended.After(s.from)
	})
}
