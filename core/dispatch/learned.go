package dispatch

import (
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/workcost"
)

const (
	// minEvidence is the evidence from which an estimate decides; below it the jobs of a plain
	// service are counted.
	minEvidence = 1
	// paceBand is the factor up to which a pace counts as usual, in both directions: smaller
	// differences are within the error of the estimate.
	paceBand = 1.25
	// evenBand is the factor up to which costs count as equal.
	evenBand = 1.5
	// completionTolerance is the share of the earliest expected completion by which another
	// one may be later, and holdGain the shortest gain for which a job is held although an
	// endpoint has a free slot.
	completionTolerance = 0.1
	holdGain            = 2 * time.Millisecond
	// overdueFactor is the number of expected times after which a job counts as overdue.
	overdueFactor = 2
	// remainingDivisor divides the expected time of a job: it is assumed to have at least the
	// quotient left until it ends.
	remainingDivisor = 8
	// paceInterval is the time after which the paces of a service are read again.
	paceInterval = 50 * time.Millisecond
	// probeInterval is the time between two requests to a slow endpoint that is not used
	// otherwise, and probeMargin the number of expected times that such a request must have
	// until it is late.
	probeInterval = 500 * time.Millisecond
	probeMargin   = 1.5
)

// costs is what a dispatcher learns of the requests of plain services and of their endpoints.
type costs struct {
	*workcost.Estimator
	// epoch is the time since which other times are counted.
	epoch time.Time
	// slow has the IDs of the engines whose cost model is scaled, and scalesReadAt is when their
	// paces were last read.
	slow         map[string]bool
	scalesReadAt time.Time
	// decision counts the calls of Decide; the plans of earlier ones don't hold.
	decision int64
}

func newCosts(cfg Config) *costs {
	if !cfg.LearnCosts {
		return nil
	}
	return &costs{Estimator: workcost.New(workcost.DefaultConfig()), slow: make(map[string]bool)}
}

// since returns the time since the epoch, which is the first time that is asked for.
func (c *costs) since(now time.Time) time.Duration {
	if c.epoch.IsZero() {
		c.epoch = now
	}
	return now.Sub(c.epoch)
}

// plainLoad is the expected work of the jobs at an endpoint of a plain service. Times are
// relative to costs.epoch.
type plainLoad struct {
	// pace is the endpoint's pace, exactly 1 within paceBand; zero if it was not read yet.
	pace float64
	// seenAt is when the endpoint last served a request, or got one to find out its pace.
	seenAt time.Time
	// probing is set while a job is there to find out its pace.
	probing bool
	// work is the sum of the expected times of the jobs, and placed the sum of the times at
	// which they were placed.
	work, placed time.Duration
	// least and most are the lowest and the highest cost of a job.
	least, most time.Duration
	// overdueAt is when the first job is overdue.
	overdueAt time.Duration
	// plan has the times until the slots are free, the earliest first, including the jobs that
	// were held for them in the call of Decide with the number planned.
	plan    []time.Duration
	planned int64
}

// kindOf returns the kind of a job's request.
func kindOf(job *Job) workcost.Kind {
	return workcost.Kind{
		Service: job.Service, Route: job.Route, Method: workcost.MethodClass(job.Method),
		Organisation: job.Organisation, Size: workcost.SizeBand(job.BodyBytes),
	}
}

// jobCost is the estimate for a job of a plain service, and the entry of its kind that it is from;
// zero if there is not enough evidence.
type jobCost struct {
	workcost.Estimate
	entry *workcost.Entry
}

// costOf returns the estimate for a job of a plain service.
func (d *Dispatcher) costOf(now time.Time, job *Job) jobCost {
	if d.costs == nil || d.services[job.Service] != nil {
		return jobCost{}
	}
	entry := d.costs.Find(kindOf(job))
	estimate := d.costs.EntryCost(now, entry)
	if estimate.Evidence < minEvidence {
		return jobCost{}
	}
	return jobCost{estimate, entry}
}

// observeCost learns from a served job of a plain service. A job whose placement time is not
// known, as another dispatcher of an earlier build placed it, says nothing.
func (d *Dispatcher) observeCost(now time.Time, p *placedJob) {
	if d.costs == nil || p.ageUnknown {
		return
	}
	e := d.endpoints[p.Endpoint]
	if e == nil {
		return
	}
	d.costs.ObserveEntry(now, p.cost.entry, workcost.Observation{Kind: kindOf(&p.Job), Endpoint: e.ID, Incarnation: e.Started, Took: now.Sub(p.placedAt), VM: d.otherVM(p.Owner)})
	e.load.seenAt = now
}

// updatePace copies the learned pace of an endpoint to its load; one within paceBand counts as 1.
func (d *Dispatcher) updatePace(now time.Time, e *endpoint) {
	pace := d.costs.Pace(now, e.ID)
	e.load.pace = pace.Factor
	if pace.Factor < paceBand && pace.Factor > 1/paceBand {
		e.load.pace = 1
	}
	if pace.LastSeen.After(e.load.seenAt) {
		e.load.seenAt = pace.LastSeen
	}
}

// refreshPaces reads the paces of a service's endpoints again, as they change with time.
func (d *Dispatcher) refreshPaces(now time.Time, service string) {
	m := d.demandOf(service)
	if !m.pacesAt.IsZero() && now.Sub(m.pacesAt) < paceInterval {
		return
	}
	m.pacesAt, m.slow = now, m.slow[:0]
	for _, e := range d.pools[service] {
		before := e.load.pace
		d.updatePace(now, e)
		if e.load.pace != before {
			d.recount(now, e)
		}
		if e.load.pace > 1 {
			m.slow = append(m.slow, e)
		}
	}
}

// recount sums up the expected work of the jobs at an endpoint of a plain service.
func (d *Dispatcher) recount(now time.Time, e *endpoint) {
	if d.costs == nil || e.engine != nil {
		return
	}
	l := &e.load
	if l.pace == 0 {
		d.updatePace(now, e)
	}
	l.work, l.placed, l.least, l.most, l.overdueAt, l.planned = 0, 0, math.MaxInt64, 0, math.MaxInt64, 0
	l.probing = l.probing && len(e.parts) > 0
	for _, p := range e.parts {
		at := p.job.placedSince
		expected := l.expected(p.job.cost.Mean)
		l.work += expected
		l.placed += at
		l.least, l.most = min(l.least, p.job.cost.Mean), max(l.most, p.job.cost.Mean)
		l.overdueAt = min(l.overdueAt, at+overdueFactor*expected)
	}
}

// expected returns the expected time of a job of the cost at the endpoint.
func (l *plainLoad) expected(cost time.Duration) time.Duration {
	return time.Duration(l.pace * float64(cost))
}

// remaining returns the expected remaining work of the jobs at the endpoint.
func (e *endpoint) remaining(at time.Duration) time.Duration {
	l := &e.load
	if at < l.overdueAt {
		return max(l.work-(time.Duration(len(e.parts))*at-l.placed), l.work/remainingDivisor)
	}
	sum := time.Duration(0)
	for _, p := range e.parts {
		sum += l.remainingOf(at, p.job)
	}
	return sum
}

// remainingOf returns the expected remaining time of a job. One that takes longer than expected
// is taken to have as much left as it has exceeded that.
func (l *plainLoad) remainingOf(at time.Duration, p *placedJob) time.Duration {
	expected, age := l.expected(p.cost.Mean), at-p.placedSince
	return max(expected-age, expected/remainingDivisor, age-expected)
}

// paceOf returns the pace of an endpoint, also as its overdue jobs show it if they are at least two
// and half of all, and it has served none since they were placed: otherwise they may just be dearer
// than others of their kinds.
func (d *Dispatcher) paceOf(at time.Duration, e *endpoint) float64 {
	if at < e.load.overdueAt {
		return e.load.pace
	}
	return d.overduePace(at, e)
}

// overduePace is paceOf for an endpoint with an overdue job.
func (d *Dispatcher) overduePace(at time.Duration, e *endpoint) float64 {
	pace, seenSince := e.load.pace, d.costs.since(e.load.seenAt)
	slowest, second, overdue := 0.0, 0.0, 0
	for _, p := range e.parts {
		if p.job.cost.Mean <= 0 || p.job.placedSince < seenSince {
			continue
		}
		factor := float64(at-p.job.placedSince) / float64(p.job.cost.Mean)
		second = max(second, min(slowest, factor))
		slowest = max(slowest, factor)
		if factor >= overdueFactor*pace {
			overdue++
		}
	}
	if overdue < 2 || 2*overdue < len(e.parts) {
		return pace
	}
	return max(pace, second)
}

func (e *endpoint) free() bool { return e.received < max(1, e.Slots) }

// decideByCost places the job of a plain service at the endpoint with the earliest expected
// completion, holds it for a better one, or refuses it if it can't end in time.
func (d *Dispatcher) decideByCost(now time.Time, job *Job, pool []*endpoint, cost jobCost) (Decision, bool) {
	d.refreshPaces(now, job.Service)
	at := d.costs.since(now)
	if e := d.evenChoice(at, job, pool, cost.Mean); e != nil {
		return d.placeByCost(now, job, e, cost)
	}
	if e := d.probe(now, job, pool, cost); e != nil {
		e.load.seenAt, e.load.probing = now, true
		return d.placeByCost(now, job, e, cost)
	}
	best, completion := d.earliestFree(at, job, pool, cost.Mean)
	full, wait, later := d.earliestFull(at, pool, cost.Mean, completion)
	inTime := full != nil && !now.Add(later).After(job.endBy()) && now.Before(d.refusalTime(job))
	switch {
	case best == nil && !inTime:
		return refuseTooLate(job, max(wait, refusalRetryAfter)), true
	case best == nil || inTime && later+time.Duration(completionTolerance*float64(later))+holdGain < completion:
		d.reserve(full, later)
		return Decision{}, false
	case now.Add(completion / 2).After(job.endBy()):
		// Half of the expected time allows for the error of the estimate.
		return refuseTooLate(job, max(wait, refusalRetryAfter)), true
	}
	return d.placeByCost(now, job, best, cost)
}

// unrestrictedPool returns all endpoints of a plain service if each of them may get the job, which is
// the usual case; otherwise nil. It saves building the list of candidates.
func (d *Dispatcher) unrestrictedPool(now time.Time, job *Job) []*endpoint {
	if d.costs == nil || !job.unrestricted() || d.services[job.Service] != nil {
		return nil
	}
	pool := d.pools[job.Service]
	for _, e := range pool {
		if e.limit != nil || e.failures > 0 && !e.usable(now) || !e.coldUntil.IsZero() && now.Before(e.coldUntil) {
			return nil
		}
	}
	return pool
}

// placeByCost places the job, unless it might not end before its owner exits.
func (d *Dispatcher) placeByCost(now time.Time, job *Job, e *endpoint, cost jobCost) (Decision, bool) {
	expected := time.Duration(d.paceOf(d.costs.since(now), e) * float64(cost.Mean))
	if !d.endsBeforeOwnerExits(now, job, expected) {
		return refuseTooLate(job, refusalRetryAfter), true
	}
	return d.placeEstimated(now, job, Placement{Job: job.ID, Endpoint: e.ID, Expected: expected, Evidence: cost.Evidence}, cost), true
}

// evenChoice returns the endpoint with the lowest occupancy if it has a free slot, all endpoints
// are equally fast and all jobs cost about the same: then the number of jobs is a better measure
// than estimates of their remaining work.
func (d *Dispatcher) evenChoice(at time.Duration, job *Job, pool []*endpoint, cost time.Duration) *endpoint {
	highest, lowest := time.Duration(evenBand*float64(cost)), time.Duration(float64(cost)/evenBand)
	var best *endpoint
	for _, e := range pool {
		l := &e.load
		if l.pace != 1 || at >= l.overdueAt || l.most > highest || l.least < lowest {
			return nil
		}
		if best == nil {
			best = e
			continue
		}
		switch more := e.received*max(1, best.Slots) - best.received*max(1, e.Slots); {
		case more < 0, more == 0 && d.nearer(job, e, best):
			best = e
		}
	}
	if !best.free() {
		return nil
	}
	return best
}

// earliestFree returns, of the endpoints with a free slot and about the earliest expected
// completion, the one with the least remaining work, and that completion; nil if no slot is free.
// Of equal ones, one in the failure domain of the job's owner is preferred. A tolerance for the remaining
// work would give heavy calls to near endpoints and so the more numerous light ones to others.
func (d *Dispatcher) earliestFree(at time.Duration, job *Job, pool []*endpoint, cost time.Duration) (*endpoint, time.Duration) {
	lowest := math.Inf(1)
	for _, e := range pool {
		if e.free() {
			lowest = min(lowest, d.paceOf(at, e))
		}
	}
	if math.IsInf(lowest, 1) {
		return nil, math.MaxInt64
	}
	var best *endpoint
	var least time.Duration
	for _, e := range pool {
		if !e.free() || d.paceOf(at, e) > lowest*(1+completionTolerance) {
			continue
		}
		work := e.remaining(at)
		if best == nil {
			best, least = e, work
			continue
		}
		// The work for each slot is compared, without a division.
		here, there := work*time.Duration(max(1, best.Slots)), least*time.Duration(max(1, e.Slots))
		if here < there || here == there && d.precedes(job, e, best) {
			best, least = e, work
		}
	}
	return best, time.Duration(d.paceOf(at, best) * float64(cost))
}

// earliestFull returns, of the endpoints without a free slot, the one with the earliest expected
// completion before the given one, the wait for its next slot and that completion; nil for none.
func (d *Dispatcher) earliestFull(at time.Duration, pool []*endpoint, cost, before time.Duration) (best *endpoint, wait, completion time.Duration) {
	completion = before
	for _, e := range pool {
		if e.free() {
			continue
		}
		takes := time.Duration(d.paceOf(at, e) * float64(cost))
		if takes >= completion {
			continue
		}
		if w := d.plan(at, e)[0]; w+takes < completion {
			best, wait, completion = e, w, w+takes
		}
	}
	return best, wait, completion
}

// plan returns the times until the slots of an endpoint without a free one are free.
func (d *Dispatcher) plan(at time.Duration, e *endpoint) []time.Duration {
	l := &e.load
	if l.planned == d.costs.decision {
		return l.plan
	}
	l.planned, l.plan = d.costs.decision, l.plan[:0]
	for _, p := range e.parts {
		l.plan = append(l.plan, l.remainingOf(at, p.job))
	}
	slices.Sort(l.plan)
	// Jobs beyond the slots wait at the endpoint.
	l.plan = slices.Delete(l.plan, 0, len(l.plan)-max(1, e.Slots))
	return l.plan
}

// reserve counts a job that is held for the next free slot of an endpoint; it is expected to end
// after the time completion.
func (d *Dispatcher) reserve(e *endpoint, completion time.Duration) {
	e.load.plan[0] = completion
	slices.Sort(e.load.plan)
}

// probe returns a slow endpoint without jobs that has not been tried for a while, if the job would
// be on time there: that shows whether it has recovered. One such job of a service is under way at a
// time.
func (d *Dispatcher) probe(now time.Time, job *Job, pool []*endpoint, cost jobCost) *endpoint {
	due := job.Due
	if due.IsZero() {
		due = d.refusalTime(job)
	}
	var best *endpoint
	for _, e := range d.demandOf(job.Service).slow {
		if e.received > 0 && e.load.probing {
			return nil
		}
		takes := time.Duration(probeMargin * e.load.pace * float64(cost.Mean))
		if e.received == 0 && now.Sub(e.load.seenAt) >= probeInterval && !now.Add(takes).After(due) &&
			(best == nil || e.load.seenAt.Before(best.load.seenAt)) && slices.Contains(pool, e) {
			best = e
		}
	}
	return best
}

// setPlacedAt sets when an adopted job was placed, as far as that is known.
func (d *Dispatcher) setPlacedAt(p *placedJob, at time.Time) {
	if d.costs == nil {
		return
	}
	if d.services[p.Service] != nil {
		p.ageUnknown = at.IsZero() || p.placedAt.Sub(at) > maxAdoptionAge
		return
	}
	p.ageUnknown = at.IsZero()
	if p.ageUnknown {
		return
	}
	p.placedAt = earlier(at, p.placedAt)
	p.placedSince = d.costs.since(p.placedAt)
	if e := d.endpoints[p.Endpoint]; e != nil {
		d.recount(p.placedAt, e)
	}
}

// SetVM sets the VM of this dispatcher; without it, all jobs count as those of its VM.
func (d *Dispatcher) SetVM(vm string) { d.vm = vm }

// otherVM returns the owner of a job; empty if that is this dispatcher's VM.
func (d *Dispatcher) otherVM(owner string) string {
	if d.vm == "" || owner == d.vm {
		return ""
	}
	return owner
}

// Costs returns what this dispatcher has learned of a service by the jobs of its VM, for another
// one.
func (d *Dispatcher) Costs(now time.Time, service string) workcost.Summary {
	if d.costs == nil {
		return workcost.Summary{}
	}
	return d.costs.Summary(now, service)
}

// AddCosts adds what the dispatcher of another VM has learned of a service.
func (d *Dispatcher) AddCosts(now time.Time, service, vm string, sum workcost.Summary) {
	if d.costs == nil {
		return
	}
	d.costs.Merge(now, service, vm, sum)
	d.demandOf(service).pacesAt = time.Time{}
	if d.services[service] != nil {
		for _, e := range d.pools[service] {
			d.updateModelScale(now, e)
		}
	}
}
