package dispatch

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

const (
	// expireInterval is the time between two searches for jobs past their time.
	expireInterval = time.Second
	// expireAfter is how long after its deadline a job is forgotten.
	expireAfter = 2 * time.Second
)

// queuedJob is a job that waits.
type queuedJob struct {
	Job
	// recheckAt is when it is looked at again.
	recheckAt time.Time
	// rank, level and readPerWorth decide its turn; they are as of the last order.
	rank            int
	agedPriority    int
	prefillPerValue float64
}

// placedJob is a job that went to endpoints.
type placedJob struct {
	Job
	Placement
	// light says that the prompt is read in no time, and unreadMs in how much.
	light     bool
	prefillMs float64
	// started says that the first event came.
	started bool
	// predicted is when the first event is expected.
	predicted time.Time
}

// Dispatcher holds the view of a group of endpoints.
type Dispatcher struct {
	cfg       Config
	services  map[string]*engine.Figures
	endpoints map[string]*endpoint
	// pools lists the endpoints of a service in the order of their names.
	pools map[string][]*endpoint
	queue []*queuedJob
	// longHeld says that a long job that can be on time waits, so that late ones have
	// to.
	longHeld bool
	// fullService names a service that had no room for a light job in this round.
	fullService string
	placed      map[string]*placedJob
	// lastExpiry is when placed was last searched for jobs past their time.
	lastExpiry time.Time
	// demands is what jobs ask, by service.
	demands map[string]*demand
}

// New returns a Dispatcher that knows no endpoint.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		services:  make(map[string]*engine.Figures),
		endpoints: make(map[string]*endpoint),
		pools:     make(map[string][]*endpoint),
		placed:    make(map[string]*placedJob),
		demands:   make(map[string]*demand),
	}
}

// Submit queues a job; Decide places or refuses it. A job that is known already
// is left as it is.
func (d *Dispatcher) Submit(now time.Time, job Job) {
	if d.placed[job.ID] != nil || d.queueIndex(job.ID) >= 0 {
		return
	}
	d.recordArrival(now, &job)
	d.queue = append(d.queue, &queuedJob{Job: job})
}

// Placement returns where a job was placed; ok is false for one that waits or
// isn't known.
func (d *Dispatcher) Placement(id string) (p Placement, ok bool) {
	pl := d.placed[id]
	if pl == nil {
		return Placement{}, false
	}
	return pl.Placement, true
}

// Adopt takes in a job that was placed elsewhere, by another dispatcher.
func (d *Dispatcher) Adopt(now time.Time, job Job, p Placement, started bool) {
	if d.placed[job.ID] != nil {
		return
	}
	if i := d.queueIndex(job.ID); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	pl := d.addPlaced(now, &job, p)
	if started {
		d.markStarted(now, pl)
	}
}

// Began notes a placed job's first event.
func (d *Dispatcher) Began(now time.Time, id string) {
	if p := d.placed[id]; p != nil && !p.started {
		d.markStarted(now, p)
	}
}

// Finished notes the end of a placed job, or that a queued one is not wanted
// any more. blamed is the endpoint that is at fault; empty for the one that
// received the job.
func (d *Dispatcher) Finished(now time.Time, id string, outcome Outcome, blamed string) {
	if i := d.queueIndex(id); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		return
	}
	p := d.placed[id]
	if p == nil {
		return
	}
	d.removePlaced(now, p)
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
	}
}

// DropOwner forgets all jobs of an entry VM.
func (d *Dispatcher) DropOwner(now time.Time, owner string) {
	d.dropJobs(now, func(j *Job) bool { return j.Owner == owner })
}

// DropTerms forgets the jobs of an entry VM at a service that are of earlier
// terms: the VM tells anew of those that last.
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

// expire forgets the jobs whose end was never told.
func (d *Dispatcher) expire(now time.Time) {
	if now.Sub(d.lastExpiry) < expireInterval {
		return
	}
	d.lastExpiry = now
	for _, p := range d.placed {
		if now.Sub(p.Deadline) > expireAfter {
			d.removePlaced(now, p)
		}
	}
}

// Waiting is the number of queued jobs.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Placed is the number of jobs at endpoints.
func (d *Dispatcher) Placed() int { return len(d.placed) }

// queueIndex returns the place of a job in the queue, or -1.
func (d *Dispatcher) queueIndex(id string) int {
	return slices.IndexFunc(d.queue, func(q *queuedJob) bool { return q.ID == id })
}

// addPlaced books the job at its endpoints.
func (d *Dispatcher) addPlaced(now time.Time, job *Job, p Placement) *placedJob {
	pl := &placedJob{Job: *job, Placement: p, light: d.light(job), predicted: now.Add(p.Predicted)}
	d.placed[job.ID] = pl
	d.demandOf(job.Service).add(pl, d.services[job.Service])
	for i, id := range p.endpoints() {
		e := d.endpoints[id]
		if e == nil {
			continue
		}
		pt := &part{job: pl, receiver: i == 0, tokens: p.tokensAt(job, i)}
		e.parts = append(e.parts, pt)
		e.heldTokens += pt.tokens
		if pt.receiver {
			e.received++
		} else {
			e.helped++
		}
		d.addToModel(now, e, pt)
	}
	return pl
}

// markStarted notes that a job's prompt is read.
func (d *Dispatcher) markStarted(now time.Time, p *placedJob) {
	d.demandOf(p.Service).markPrefilled(p)
	p.started = true
	d.forEachPart(p, func(_ *endpoint, pt *part) { pt.startDecode(now) })
}

// removePlaced forgets a placed job.
func (d *Dispatcher) removePlaced(now time.Time, p *placedJob) {
	delete(d.placed, p.ID)
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

// light reports whether the job's prompt is read in no time.
func (d *Dispatcher) light(j *Job) bool {
	f := d.services[j.Service]
	return f != nil && f.ReadMs(j.Prompt, 1) <= d.cfg.LightPrefillMs
}

// value is how much a job weighs against others: by itself, and by its size.
func (d *Dispatcher) value(j *Job) float64 {
	return 1 + float64(j.Prompt)/d.cfg.TokensPerValueUnit
}
