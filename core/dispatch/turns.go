package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/ratelimit"
)

const (
	// fairTurn is the number of turns of which one goes to the group of jobs that has had
	// the fewest, whatever their length and priority, so that no group starves.
	fairTurn = 4
	// fairWindow is the time constant of the average rate of a group's turns, and
	// forgottenRate the rate, in turns per second, below which it counts as zero.
	fairWindow    = 3 * time.Second
	forgottenRate = 0.01
	// maxReturn is the latest time after which the caller of a job that is refused for a
	// lack of turns is told to come back.
	maxReturn = 10 * time.Second
	// turnTolerance is the part of its time by which a job that is held may get its turn
	// later than one that arrives, so that it is not refused for a small change of the
	// estimate.
	turnTolerance = 4
)

// turnGroup identifies the jobs that share their turns evenly with other groups.
type turnGroup struct {
	organisation string
	light        bool
}

func (d *Dispatcher) turnGroup(j *Job) turnGroup { return turnGroup{j.Organisation, d.light(j)} }

// turns is the state of a service all of whose endpoints have bounded rates: its jobs wait
// for their turns.
type turns struct {
	// granted counts the placements at endpoints with bounded rates, and rates has their
	// rates by group.
	granted int
	rates   map[turnGroup]*rate
	// groups is the number of groups with queued jobs.
	groups int
	// returnAt is the time after which the next caller is told to come back.
	returnAt time.Time

	// The rest holds for one call of Decide. closed is set once a job that may be placed
	// at any endpoint has found that none may get a request; perSecond is the rate of the
	// endpoints, and next the time until the first of them may get one.
	closed    bool
	perSecond float64
	next      time.Duration
	// held counts the jobs that were held so far.
	held int
}

// startTurns begins a call of Decide.
func (d *Dispatcher) startTurns() {
	for _, t := range d.turns {
		t.closed, t.held = false, 0
	}
}

// turnClosed reports whether a job has found in this call of Decide that no endpoint of
// its service may get a request, which holds for the given job as well.
func (d *Dispatcher) turnClosed(job *Job) bool {
	t := d.turns[job.Service]
	return t != nil && t.closed && job.unrestricted()
}

// orderTurns orders the jobs of the services that waited for their turns in the last call of
// Decide: one of every fairTurn of them, where a fair turn comes, is the oldest job of the
// group that has had the fewest turns. The queue is sorted; the places of other jobs stay.
func (d *Dispatcher) orderTurns(now time.Time) {
	for service, t := range d.turns {
		if !t.closed {
			continue
		}
		var places []int
		var jobs []*queuedJob
		for i, q := range d.queue {
			if q.Service == service {
				places, jobs = append(places, i), append(jobs, q)
			}
		}
		for i, q := range d.mergeFair(now, t, jobs) {
			d.queue[places[i]] = q
		}
	}
}

// mergeFair returns the jobs of a service in the order of their turns.
func (d *Dispatcher) mergeFair(now time.Time, t *turns, jobs []*queuedJob) []*queuedJob {
	if len(jobs) == 0 {
		return nil
	}
	fair := d.fairJobs(now, t, jobs)
	taken := make(map[*queuedJob]bool, len(fair))
	merged := make([]*queuedJob, 0, len(jobs))
	for usual := jobs; len(merged) < len(jobs); {
		if (t.granted+len(merged))%fairTurn == fairTurn-1 && len(fair) > 0 {
			q := fair[0]
			fair = fair[1:]
			if !taken[q] {
				taken[q] = true
				q.recheckAt = time.Time{}
				merged = append(merged, q)
				continue
			}
		}
		for taken[usual[0]] {
			usual = usual[1:]
		}
		taken[usual[0]] = true
		merged = append(merged, usual[0])
	}
	return merged
}

// fairJobs returns the jobs for the next fair turns, at most as many as the service's
// endpoints may grant at once: each is the oldest one of the group that has had the fewest
// turns by then. It counts the older jobs of the group of each job.
func (d *Dispatcher) fairJobs(now time.Time, t *turns, jobs []*queuedJob) []*queuedJob {
	byAge := slices.Clone(jobs)
	slices.SortStableFunc(byAge, func(a, b *queuedJob) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	var groups []turnGroup
	waiting := make(map[turnGroup][]*queuedJob)
	had := make(map[turnGroup]float64)
	for _, q := range byAge {
		g := d.turnGroup(&q.Job)
		if waiting[g] == nil {
			groups = append(groups, g)
			had[g] = t.rate(g).current(now, fairWindow)
		}
		q.older = len(waiting[g])
		waiting[g] = append(waiting[g], q)
	}
	t.groups = len(groups)
	n := min(len(jobs), len(d.pools[byAge[0].Service])/fairTurn+1)
	fair := make([]*queuedJob, 0, n)
	for len(fair) < n {
		next := slices.MinFunc(groups, func(a, b turnGroup) int { return cmp.Compare(had[a], had[b]) })
		fair = append(fair, waiting[next][0])
		waiting[next] = waiting[next][1:]
		had[next] += 1 / fairWindow.Seconds()
		if len(waiting[next]) == 0 {
			groups = slices.DeleteFunc(groups, func(g turnGroup) bool { return g == next })
		}
	}
	return fair
}

// countTurn counts a job's placement at an endpoint with a bounded rate.
func (d *Dispatcher) countTurn(now time.Time, job *Job) {
	t := d.turnsOf(job.Service)
	t.granted++
	t.rate(d.turnGroup(job)).add(now, fairWindow, 1)
	for g, r := range t.rates {
		if r.current(now, fairWindow) < forgottenRate {
			delete(t.rates, g)
		}
	}
}

func (t *turns) rate(g turnGroup) *rate {
	r := t.rates[g]
	if r == nil {
		r = &rate{}
		t.rates[g] = r
	}
	return r
}

// returnTime returns when a refused caller is told to come back: at the planned time, unless that is
// sooner than after the wait or later than maxReturn, and after the wait otherwise.
func returnTime(now, planned time.Time, wait time.Duration) time.Time {
	earliest, latest := now.Add(wait), now.Add(max(wait, maxReturn))
	if planned.Before(earliest) || planned.After(latest) {
		return earliest
	}
	return planned
}

// turnsOf returns the turns of a service.
func (d *Dispatcher) turnsOf(service string) *turns {
	t := d.turns[service]
	if t == nil {
		t = &turns{rates: make(map[turnGroup]*rate), groups: 1}
		d.turns[service] = t
	}
	return t
}

// wait returns the time until the turn of a job, which is the sooner of that by its place
// in the queue and that by its group's fair turns.
func (t *turns) wait(q *queuedJob) time.Duration {
	ahead := min(t.held, (q.older+1)*t.groups*fairTurn)
	return t.next + ratelimit.TimeOf(float64(ahead), t.perSecond)
}

// nextReturn returns the time after which the caller of a job that is refused is told to
// come back. Callers come back one by one, at the rate of the turns.
func (t *turns) nextReturn(now time.Time, wait time.Duration) time.Duration {
	t.returnAt = returnTime(now, t.returnAt, wait)
	after := t.returnAt.Sub(now)
	t.returnAt = t.returnAt.Add(ratelimit.TimeOf(1, t.perSecond))
	return max(after, refusalRetryAfter)
}

// close records that no endpoint may get a request of the job now.
func (d *Dispatcher) close(now time.Time, job *Job) *turns {
	t := d.turnsOf(job.Service)
	if t.closed {
		return t
	}
	t.closed, t.perSecond, t.next = job.unrestricted(), 0, math.MaxInt64
	for _, e := range d.pools[job.Service] {
		if perSecond, bounded := d.boundedRate(now, e); bounded && !slices.Contains(job.Exclude, e.ID) {
			t.perSecond += perSecond
			t.next = min(t.next, e.bucket.Next(now, perSecond))
		}
	}
	return t
}

// holdForTurn holds a job until one of the endpoints with bounded rates may get a request,
// and refuses it at once if its turn does not come before its refusal time or too late for
// its first event.
func (d *Dispatcher) holdForTurn(now time.Time, q *queuedJob) (Decision, bool) {
	t := d.close(now, &q.Job)
	wait, latest := t.wait(q), d.latestTurn(&q.Job)
	if q.heldForTurn {
		latest = latest.Add(latest.Sub(q.Arrived) / turnTolerance)
	}
	if now.Add(wait).After(latest) {
		return refuse(&q.Job, ReasonLimited, t.nextReturn(now, wait)), true
	}
	t.held++
	q.heldForTurn = true
	return Decision{}, false
}

// latestTurn returns the time after which a job need not be placed.
func (d *Dispatcher) latestTurn(job *Job) time.Time {
	latest := d.refusalTime(job)
	if d.services[job.Service] == nil {
		return latest
	}
	return earlier(latest, d.latestStart(job))
}
