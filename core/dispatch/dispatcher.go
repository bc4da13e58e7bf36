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

// queued is a job that waits.
type queued struct {
	Job
	// lookAt is when it is looked at again.
	lookAt time.Time
	// rank, level and readPerWorth decide its turn; they are as of the last order.
	rank         int
	level        int
	readPerWorth float64
}

// placed is a job that went to endpoints.
type placed struct {
	Job
	Placement
	// light says that the prompt is read in no time, and unreadMs in how much.
	light    bool
	unreadMs float64
	// began says that the first event came.
	began bool
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
	queue []*queued
	// held says that a long job that can be on time waits, so that late ones have
	// to.
	held bool
	// full names a service that had no room for a light job in this round.
	full   string
	placed map[string]*placed
	// expired is when placed was last searched for jobs past their time.
	expired time.Time
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
		placed:    make(map[string]*placed),
		demands:   make(map[string]*demand),
	}
}

// Submit queues a job; Decide places or refuses it. A job that is known already
// is left as it is.
func (d *Dispatcher) Submit(now time.Time, job Job) {
	if d.placed[job.ID] != nil || d.find(job.ID) >= 0 {
		return
	}
	d.note(now, &job)
	d.queue = append(d.queue, &queued{Job: job})
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
func (d *Dispatcher) Adopt(now time.Time, job Job, p Placement, began bool) {
	if d.placed[job.ID] != nil {
		return
	}
	if i := d.find(job.ID); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	pl := d.enter(now, &job, p)
	if began {
		d.begin(now, pl)
	}
}

// Began notes a placed job's first event.
func (d *Dispatcher) Began(now time.Time, id string) {
	if p := d.placed[id]; p != nil && !p.began {
		d.begin(now, p)
	}
}

// Finished notes the end of a placed job, or that a queued one is not wanted
// any more. blamed is the endpoint that is at fault; empty for the one that
// received the job.
func (d *Dispatcher) Finished(now time.Time, id string, outcome Outcome, blamed string) {
	if i := d.find(id); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		return
	}
	p := d.placed[id]
	if p == nil {
		return
	}
	d.remove(now, p)
	if blamed == "" {
		blamed = p.Endpoint
	}
	e := d.endpoints[blamed]
	if e == nil {
		return
	}
	switch outcome {
	case Served:
		e.served()
	case Failed:
		e.suspect(now, d.cfg.SuspectFor, d.cfg.MaxSuspectFor)
	case Rejected:
		e.suspect(now, d.cfg.FullFor, d.cfg.MaxSuspectFor)
	case Abandoned:
	}
}

// DropOwner forgets all jobs of an entry VM.
func (d *Dispatcher) DropOwner(now time.Time, owner string) {
	d.drop(now, func(j *Job) bool { return j.Owner == owner })
}

// DropTerms forgets the jobs of an entry VM at a service that are of earlier
// terms: the VM tells anew of those that last.
func (d *Dispatcher) DropTerms(now time.Time, owner, service string, before int64) {
	d.drop(now, func(j *Job) bool { return j.Owner == owner && j.Service == service && j.Term < before })
}

func (d *Dispatcher) drop(now time.Time, dropped func(*Job) bool) {
	d.queue = slices.DeleteFunc(d.queue, func(q *queued) bool { return dropped(&q.Job) })
	for _, p := range d.placed {
		if dropped(&p.Job) {
			d.remove(now, p)
		}
	}
}

// expire forgets the jobs whose end was never told.
func (d *Dispatcher) expire(now time.Time) {
	if now.Sub(d.expired) < expireInterval {
		return
	}
	d.expired = now
	for _, p := range d.placed {
		if now.Sub(p.Deadline) > expireAfter {
			d.remove(now, p)
		}
	}
}

// Waiting is the number of queued jobs.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Placed is the number of jobs at endpoints.
func (d *Dispatcher) Placed() int { return len(d.placed) }

// find returns the place of a job in the queue, or -1.
func (d *Dispatcher) find(id string) int {
	return slices.IndexFunc(d.queue, func(q *queued) bool { return q.ID == id })
}

// enter books the job at its endpoints.
func (d *Dispatcher) enter(now time.Time, job *Job, p Placement) *placed {
	pl := &placed{Job: *job, Placement: p, light: d.light(job), predicted: now.Add(p.Predicted)}
	d.placed[job.ID] = pl
	d.demandOf(job.Service).entered(pl, d.services[job.Service])
	for i, id := range p.endpoints() {
		e := d.endpoints[id]
		if e == nil {
			continue
		}
		pt := &part{job: pl, receiver: i == 0, tokens: p.memory(job, i)}
		e.parts = append(e.parts, pt)
		e.context += pt.tokens
		if pt.receiver {
			e.received++
		} else {
			e.helped++
		}
		d.model(now, e, pt)
	}
	return pl
}

// begin notes that a job's prompt is read.
func (d *Dispatcher) begin(now time.Time, p *placed) {
	d.demandOf(p.Service).read(p)
	p.began = true
	d.eachPart(p, func(_ *endpoint, pt *part) { pt.began(now) })
}

// remove forgets a placed job.
func (d *Dispatcher) remove(now time.Time, p *placed) {
	delete(d.placed, p.ID)
	d.demandOf(p.Service).left(p)
	d.eachPart(p, func(e *endpoint, pt *part) {
		e.parts = slices.DeleteFunc(e.parts, func(other *part) bool { return other == pt })
		e.context -= pt.tokens
		if pt.receiver {
			e.received--
		} else {
			e.helped--
		}
		pt.ended(now)
	})
}

func (d *Dispatcher) eachPart(p *placed, do func(*endpoint, *part)) {
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
	return f != nil && f.ReadMs(j.Prompt, 1) <= d.cfg.LightReadMs
}

// worth is how much a job weighs against others: by itself, and by its size.
func (d *Dispatcher) worth(j *Job) float64 {
	return 1 + float64(j.Prompt)/d.cfg.TokensPerWorth
}
