package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

const (
	// expireInterval is the time between two scans for expired jobs.
	expireInterval = time.Second
	// ExpireAfter is the time after its deadline at which a placed job expires, whose end
	// was not reported.
	ExpireAfter = 2 * time.Second
)

// queuedJob is a job that waits for placement.
type queuedJob struct {
	Job
	// recheckAt is when placement is attempted again.
	recheckAt time.Time
	// rank, agedPriority and prefillPerValue are the sort keys of the queue, as
	// of the last call of sortQueue.
	rank            int
	agedPriority    int
	prefillPerValue float64
	// older is the number of older queued jobs of the service, if its jobs wait for their
	// turns.
	older int
	// heldForTurn is set once the job has been held for its turn.
	heldForTurn bool
	// work is the job's expected work, and over the work above its allowance that its
	// organisation will have received when the job's turn comes, as of the last call of
	// orderByShares.
	work, over time.Duration
	// sortRank is the rank at which the job is sorted with fair shares.
	sortRank int
	// shares is the state of the job's service, and behindLong is set if the job goes behind the
	// long prompts of organisations within their shares.
	shares     *shares
	behindLong bool
	// heldByShare is set once the job has been held for its share, and yielded if it has been
	// held for another job without having been tried.
	heldByShare, yielded bool
}

// setOwnerExit sets when the job's owner exits. If that changes, the job is decided anew.
func (q *queuedJob) setOwnerExit(at time.Time) {
	if !q.OwnerExit.Equal(at) {
		q.OwnerExit, q.recheckAt = at, time.Time{}
	}
}

// placedJob is a job that was placed at endpoints.
type placedJob struct {
	Job
	Placement
	// light is set if the prompt is light; prefillMs is then its prefill time
	// until it has been prefilled, and zero afterwards.
	light     bool
	prefillMs float64
	// started is set once the first event has been reported, at startedAt, which is zero if
	// that was before the job was adopted.
	started   bool
	startedAt time.Time
	// predicted is when the first event is expected.
	predicted time.Time
	placedAt  time.Time
	// cost is the expected time of a job of a plain service at an endpoint of usual speed; zero if
	// it is not known. placedSince is placedAt as costs counts time, and ageUnknown is set if the
	// job was adopted and placedAt is when that was.
	cost        jobCost
	placedSince time.Duration
	ageUnknown  bool
	// modelScale is that of the receiver when the prediction was made.
	modelScale int
	// work is the work of the job that was counted, at countedAt; zero for none.
	work      time.Duration
	countedAt time.Time
}

// Dispatcher places the jobs of a group of endpoints and tracks them until they
// end. It is not safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// vm is this dispatcher's VM; empty if it is not set.
	vm        string
	services  map[string]*engine.CostModel
	cold      map[string]Cold
	endpoints map[string]*endpoint
	// limits has the limits that endpoints have named, by their IDs, also while they are
	// not listed.
	limits map[string]*Limit
	// deputy has the services of which the holder is known, and is set for those that another
	// VM is the holder of.
	deputy map[string]bool
	// turns has the state of services whose jobs wait for their turns.
	turns map[string]*turns
	// shares has the state of fair queueing by service.
	shares map[string]*shares
	// pools lists the endpoints of each service, as sortPool sorts them.
	pools map[string][]*endpoint
	queue []*queuedJob
	// longHeld is set during Decide once a long job that can be on time is
	// held, so that late ones are held as well.
	longHeld bool
	// fullService is a service that had no capacity for a light job in this
	// call of Decide.
	fullService string
	// heldPlain counts the jobs of plain services that were held in this call of Decide.
	heldPlain map[string]int
	placed    map[JobKey]*placedJob
	// lastExpiry is when placed was last scanned for expired jobs.
	lastExpiry time.Time
	// demands holds the load of each service.
	demands map[string]*demand
	// searches counts the searches for the assignment of a prompt, which take most of
	// the dispatcher's processor time.
	searches int64
	scratch  scratch
	// costs is nil without Config.LearnCosts.
	costs *costs
}

// scratch holds the lists of one placement, which are kept from one to the next, as they
// are as long as a service has endpoints.
type scratch struct {
	healthy, backedOff, avoided, helpers []*endpoint

	fitting []*endpoint
	// classes are those of a sample.
	classes [sampleClasses][]*endpoint
}

// New returns a Dispatcher without services and endpoints.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		services:  make(map[string]*engine.CostModel),
		cold:      make(map[string]Cold),
		endpoints: make(map[string]*endpoint),
		limits:    make(map[string]*Limit),
		deputy:    make(map[string]bool),
		turns:     make(map[string]*turns),
		shares:    make(map[string]*shares),
		pools:     make(map[string][]*endpoint),
		placed:    make(map[JobKey]*placedJob),
		demands:   make(map[string]*demand),
		heldPlain: make(map[string]int),
		costs:     newCosts(cfg),
	}
}

// Submit queues a job; Decide places or refuses it. A job that is already placed is left
// unchanged, and of one that is queued only the exit of its owner changes.
func (d *Dispatcher) Submit(now time.Time, job Job) {
	if d.placed[job.Key()] != nil {
		return
	}
	if i := d.queueIndex(job.Key()); i >= 0 {
		d.queue[i].setOwnerExit(job.OwnerExit)
		return
	}
	d.recordArrival(now, &job)
	d.countArrival(now, &job)
	d.queue = append(d.queue, &queuedJob{Job: job})
}

// Placement returns where a job was placed; ok is false for a queued or unknown
// job.
func (d *Dispatcher) Placement(key JobKey) (p Placement, ok bool) {
	pl := d.placed[key]
	if pl == nil {
		return Placement{}, false
	}
	return pl.Placement, true
}

// PlacedJob returns a placed job; ok is false for a queued or unknown one.
func (d *Dispatcher) PlacedJob(key JobKey) (job Job, ok bool) {
	pl := d.placed[key]
	if pl == nil {
		return Job{}, false
	}
	return pl.Job, true
}

// Refuse refuses the queued jobs that match, and returns the decisions.
func (d *Dispatcher) Refuse(match func(*Job) bool, reason Reason, retryAfter time.Duration) []Decision {
	var decisions []Decision
	d.queue = slices.DeleteFunc(d.queue, func(q *queuedJob) bool {
		if !match(&q.Job) {
			return false
		}
		decision := refuse(&q.Job, reason, retryAfter)
		decision.Owner = q.Owner
		decisions = append(decisions, decision)
		return true
	})
	return decisions
}

// Adopt records a job that another dispatcher placed, and removes it from the
// queue. started is set if its first event has been reported. The request does not count
// for the bounded rate of its endpoint: the other dispatcher has counted it.
func (d *Dispatcher) Adopt(now time.Time, job Job, p Placement, started bool) {
	d.AdoptPlaced(now, time.Time{}, job, p, started)
}

// AdoptPlaced is like Adopt for a job of which it is known when it was placed. Without that, the
// time that it takes is no observation of its cost.
func (d *Dispatcher) AdoptPlaced(now, placedAt time.Time, job Job, p Placement, started bool) {
	if d.placed[job.Key()] != nil {
		return
	}
	if i := d.queueIndex(job.Key()); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	pl := d.addPlaced(now, &job, p, d.costOf(now, &job))
	d.setPlacedAt(pl, placedAt)
	if started {
		d.markStarted(now, pl)
		pl.startedAt = time.Time{}
	}
}

// FirstEvent records a placed job's first event.
func (d *Dispatcher) FirstEvent(now time.Time, key JobKey) {
	if p := d.placed[key]; p != nil && !p.started {
		d.observeFirstEvent(now, p)
		d.markStarted(now, p)
	}
}

// Finished records the end of a placed job, or removes a queued one that is no
// longer wanted. blamed is the ID of the endpoint that the outcome is
// attributed to; if it is empty, that is the job's receiver.
func (d *Dispatcher) Finished(now time.Time, key JobKey, outcome Outcome, blamed string) {
	if i := d.queueIndex(key); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		return
	}
	p := d.placed[key]
	if p == nil {
		return
	}
	d.removePlaced(now, p)
	if outcome == Served {
		d.recordDuration(now, p)
	}
	if outcome == Rejected {
		d.uncountWork(p)
	}
	if blamed == "" {
		blamed = p.Endpoint
	}
	e := d.endpoints[blamed]
	if e == nil {
		return
	}
	switch outcome {
	case Served:
		e.recordSuccess()
	case Failed:
		e.backOff(now, d.cfg.FailureBackoff, d.cfg.MaxBackoff)
	case Rejected:
		e.backOff(now, d.cfg.RejectBackoff, d.cfg.MaxBackoff)
	case Abandoned:
		if blamed == p.Endpoint {
			d.recordAbandoned(now, p, e)
		}
	}
}

// recordDuration counts the time that a served job took.
func (d *Dispatcher) recordDuration(now time.Time, p *placedJob) {
	m := d.demandOf(p.Service)
	switch {
	case d.services[p.Service] == nil:
		m.holding.add(now.Sub(p.placedAt))
		d.observeCost(now, p)
	case !p.startedAt.IsZero() && p.AnswerTokens > 0:
		m.decoding.add(now.Sub(p.startedAt) / time.Duration(p.AnswerTokens))
	}
}

// DropOwner removes all jobs of an entry VM, queued and placed.
func (d *Dispatcher) DropOwner(now time.Time, owner string) {
	d.dropJobs(now, func(j *Job) bool { return j.Owner == owner })
}

// DropTerms removes the jobs of an entry VM at a service whose term is lower
// than before. The VM reports its unfinished jobs again with the new term.
func (d *Dispatcher) DropTerms(now time.Time, owner, service string, before int64) {
	d.dropJobs(now, func(j *Job) bool { return j.Owner == owner && j.Service == service && j.Term < before })
}

func (d *Dispatcher) dropJobs(now time.Time, match func(*Job) bool) {
	d.queue = slices.DeleteFunc(d.queue, func(q *queuedJob) bool { return match(&q.Job) })
	for _, p := range d.placed {
		if match(&p.Job) {
			d.removePlaced(now, p)
		}
	}
}

// expire removes the placed jobs whose end was not reported by ExpireAfter
// after their deadline.
func (d *Dispatcher) expire(now time.Time) {
	if now.Sub(d.lastExpiry) < expireInterval {
		return
	}
	d.lastExpiry = now
	for _, p := range d.placed {
		if now.Sub(p.Deadline) > ExpireAfter {
			d.removePlaced(now, p)
		}
	}
}

// Queued returns the number of queued jobs.
func (d *Dispatcher) Queued() int { return len(d.queue) }

// Placed returns the number of placed jobs.
func (d *Dispatcher) Placed() int { return len(d.placed) }

// Searches returns the number of searches for the assignment of a prompt so far.
func (d *Dispatcher) Searches() int64 { return d.searches }

// queueIndex returns the index of a job in the queue, or -1.
func (d *Dispatcher) queueIndex(key JobKey) int {
	return slices.IndexFunc(d.queue, func(q *queuedJob) bool { return q.Key() == key })
}

// addPlaced records a placed job and adds its parts to its endpoints.
func (d *Dispatcher) addPlaced(now time.Time, job *Job, p Placement, cost jobCost) *placedJob {
	pl := &placedJob{Job: *job, Placement: p, light: d.light(job), predicted: now.Add(p.Predicted), placedAt: now}
	if d.costs != nil {
		pl.cost, pl.placedSince = cost, d.costs.since(now)
		if e := d.endpoints[p.Endpoint]; e != nil {
			pl.modelScale = e.modelScale
		}
	}
	d.placed[job.Key()] = pl
	d.demandOf(job.Service).add(pl, d.services[job.Service])
	for i, id := range p.endpoints() {
		if e := d.endpoints[id]; e != nil {
			d.addPart(now, e, pl, i)
		}
	}
	return pl
}

// addPart adds the i-th part of a placed job to its endpoint; the receiver's part is
// number 0.
func (d *Dispatcher) addPart(now time.Time, e *endpoint, pl *placedJob, i int) {
	pt := &part{job: pl, receiver: i == 0, tokens: pl.tokensAt(&pl.Job, i)}
	e.parts = append(e.parts, pt)
	e.heldTokens += pt.tokens
	if pt.receiver {
		e.received++
	} else {
		e.helped++
	}
	d.addToModel(now, e, pt)
	d.recount(now, e)
}

// markStarted records that a job's prompt has been prefilled.
func (d *Dispatcher) markStarted(now time.Time, p *placedJob) {
	d.demandOf(p.Service).markPrefilled(p)
	p.started, p.startedAt = true, now
	if e := d.endpoints[p.Endpoint]; e != nil {
		e.silent = false
	}
	d.forEachPart(p, func(_ *endpoint, pt *part) { pt.startDecode(now) })
}

// removePlaced removes a placed job and its parts.
func (d *Dispatcher) removePlaced(now time.Time, p *placedJob) {
	delete(d.placed, p.Key())
	d.demandOf(p.Service).remove(p)
	d.forEachPart(p, func(e *endpoint, pt *part) {
		e.parts = slices.DeleteFunc(e.parts, func(other *part) bool { return other == pt })
		e.heldTokens -= pt.tokens
		if pt.receiver {
			e.received--
		} else {
			e.helped--
		}
		pt.release(now)
		d.recount(now, e)
	})
}

func (d *Dispatcher) forEachPart(p *placedJob, do func(*endpoint, *part)) {
	for _, id := range p.endpoints() {
		e := d.endpoints[id]
		if e == nil {
			continue
		}
		if i := slices.IndexFunc(e.parts, func(pt *part) bool { return pt.job == p }); i >= 0 {
			do(e, e.parts[i])
		}
	}
}

// light reports whether one engine prefills the job's prompt within
// LightPrefillMs.
func (d *Dispatcher) light(j *Job) bool {
	f := d.services[j.Service]
	return f != nil && f.PrefillMs(j.PromptTokens, 1) <= d.cfg.LightPrefillMs
}

// value returns the weight of a job relative to others: 1 for the request by
// itself, plus a term proportional to the length of its prompt.
func (d *Dispatcher) value(j *Job) float64 {
	return 1 + float64(j.PromptTokens)/d.cfg.TokensPerValueUnit
}
