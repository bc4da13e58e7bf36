package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// choice is one way to serve a prompt.
type choice struct {
	receiver *endpoint
	helpers  []*endpoint
	// shares are the memory in tokens that the first helpers hold.
	shares []int
	// firstMs is the predicted time to the first event.
	firstMs float64
	// cost is what the choice costs in worth, to this job and to others.
	cost float64
	// harm is the part of the cost that others pay, without the time that is taken
	// from them, which is the same for each choice.
	harm float64
}

// decidePrompt chooses the engines that read and write a prompt, or lets it wait
// for a better time.
func (d *Dispatcher) decidePrompt(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	late := d.rank(now, job) == rankLate
	light := d.light(job)
	if late && d.held || light && d.full == job.Service {
		return d.hold(now, job)
	}
	best, found := d.best(now, job, pool)
	if !found {
		if light && len(job.Avoid) == 0 {
			d.full = job.Service
		}
		d.held = d.held || !late && !light
		return d.withoutRoom(now, job, pool)
	}
	if d.acceptable(now, job, best, late) {
		return d.placeChoice(now, job, best), true
	}
	d.held = d.held || !late
	return d.hold(now, job)
}

// acceptable reports whether a job rather takes the choice than waits for a better
// one.
func (d *Dispatcher) acceptable(now time.Time, job *Job, c choice, late bool) bool {
	light := d.light(job)
	if !light && comesTooLate(now, c.firstMs, d.lastFirst(job)) {
		return false
	}
	worth := d.worth(job)
	harm, regret := c.harm, c.harm
	if !light {
		harm += d.readingPrice(now, job) * c.receiver.engine.ReadMs(job.Prompt, 1)
		regret = harm + worth*d.lateFor(now, job, c.firstMs)
	}
	atStake := worth
	if late {
		atStake *= 1 - d.cfg.LateLoss
	}
	if regret <= d.cfg.HoldShare*atStake {
		return true
	}
	return harm < atStake && d.isPressing(now, job, c)
}

// lateFor is the share of a job's worth that it loses against being read by all
// engines at once.
func (d *Dispatcher) lateFor(now time.Time, job *Job, firstMs float64) float64 {
	return d.lateness(now, job, firstMs) - d.lateness(now, job, d.leastReadMs(job))
}

// isPressing reports whether a job has waited for half the time to its goal, and
// the choice is still on time: a better one may come too late.
func (d *Dispatcher) isPressing(now time.Time, job *Job, c choice) bool {
	half := now.Sub(job.Arrived) > job.Due.Sub(job.Arrived)/2
	return half && now.Add(engine.Duration(c.firstMs)).Before(job.Due)
}

// leastReadMs is the time in which as many engines as there may be read a prompt
// together.
func (d *Dispatcher) leastReadMs(job *Job) float64 {
	readers := min(d.cfg.MaxReaders, max(1, len(d.pools[job.Service])))
	return d.services[job.Service].ReadMs(job.Prompt, readers)
}

// hold lets a job wait as long as it can still be answered.
func (d *Dispatcher) hold(now time.Time, job *Job) (Decision, bool) {
	least := engine.Duration(d.leastReadMs(job)) + d.cfg.QueueMargin
	if now.Add(least).After(d.lastFirst(job)) {
		return refuse(job, ReasonTooLate, refusedAgain), true
	}
	return Decision{}, false
}

// withoutRoom keeps a job that finds all slots or memory taken.
func (d *Dispatcher) withoutRoom(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	if d.tooLarge(job, pool) {
		return refuse(job, ReasonTooLarge, 0), true
	}
	return d.hold(now, job)
}

// fitting lists the engines with a free slot and enough memory.
func (d *Dispatcher) fitting(job *Job, pool []*endpoint) []*endpoint {
	need := job.Prompt + job.Answer
	var fit []*endpoint
	for _, e := range pool {
		if e.received < e.Slots && need <= e.room(d.cfg.MemoryShare) {
			fit = append(fit, e)
		}
	}
	return fit
}

func (d *Dispatcher) placeChoice(now time.Time, job *Job, c choice) Decision {
	p := Placement{Job: job.ID, Endpoint: c.receiver.ID, Shares: c.shares, Predicted: engine.Duration(c.firstMs)}
	for _, h := range c.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	return d.place(now, job, p)
}

// best weighs each receiver and number of readers.
func (d *Dispatcher) best(now time.Time, job *Job, pool []*endpoint) (choice, bool) {
	interactive := d.interactive(now, job.Service, len(d.pools[job.Service]))
	if d.oversize(job, pool) {
		return d.bestOversize(now, job, pool, interactive)
	}
	fitting := d.fitting(job, pool)
	if len(fitting) == 0 {
		return choice{}, false
	}
	if d.light(job) {
		return d.bestLight(now, job, fitting, interactive), true
	}
	return d.bestLong(now, job, pool, fitting, interactive)
}

// interactive is the set of engines that are kept free of long reading: as many
// as the light jobs need to write on and to be read soon, the first of the pool
// in the order of names.
func (d *Dispatcher) interactive(now time.Time, service string, pool int) map[string]bool {
	f := d.services[service]
	m := d.demandOf(service)
	active, unreadMs := float64(m.active), m.unreadMs
	for _, q := range d.queue {
		if q.Service == service && d.light(&q.Job) {
			active++
			unreadMs += f.ReadMs(q.Prompt, 1)
		}
	}
	arriving := m.lights.now(now, d.cfg.RateWindow)
	want := max((active+arriving*arrivalSpan.Seconds())/d.cfg.WritersPerEngine, unreadMs/d.cfg.UnreadMs)
	n := min(int(math.Ceil(want)), pool)
	set := make(map[string]bool, n)
	for _, e := range d.pools[service][:n] {
		set[e.ID] = true
	}
	return set
}

// arrivalSpan is the time for whose arrivals room is kept.
const arrivalSpan = 200 * time.Millisecond

func (d *Dispatcher) bestLight(now time.Time, job *Job, fitting []*endpoint, interactive map[string]bool) choice {
	best := choice{cost: math.Inf(1)}
	for _, e := range fitting {
		c := choice{receiver: e}
		d.weigh(now, job, &c, interactive)
		if !interactive[e.ID] {
			c.cost += d.cfg.ForeignSetWeight * d.worth(job)
		}
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

// bestLong tries each number of readers, the engines with the least to read
// first.
func (d *Dispatcher) bestLong(now time.Time, job *Job, pool, fitting []*endpoint, interactive map[string]bool) (choice, bool) {
	readers := d.readers(now, job, pool, interactive)
	best := choice{cost: math.Inf(1)}
	for k := 1; k <= min(d.cfg.MaxReaders, len(readers)); k++ {
		c, ok := d.group(now, job, fitting, readers, interactive, k)
		if ok && c.cost < best.cost {
			best = c
		}
	}
	return best, best.receiver != nil
}

// usualReaders is the number of readers for which engines are compared.
const usualReaders = 4

// readers lists the engines of the pool that can take a part: those where a part does least harm first,
// and among them those that would read it first.
func (d *Dispatcher) readers(now time.Time, job *Job, pool []*endpoint, interactive map[string]bool) []*endpoint {
	type reader struct {
		*endpoint
		kept    bool
		harm    float64
		firstMs float64
	}
	most := d.cfg.MaxBacklogMs
	if d.rank(now, job) == rankLate {
		most = d.cfg.LateBacklogMs
	}
	var list []reader
	for _, e := range pool {
		if e.helped >= e.Slots || e.model.ReadingMs(now) > most {
			continue
		}
		harm, first := d.weighPart(now, job, e, usualReaders, interactive)
		list = append(list, reader{e, interactive[e.ID], harm, first})
	}
	slices.SortStableFunc(list, func(a, b reader) int {
		if a.kept != b.kept {
			return cmp.Compare(boolRank(a.kept), boolRank(b.kept))
		}
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.firstMs, b.firstMs))
	})
	readers := make([]*endpoint, 0, len(list))
	for _, r := range list {
		readers = append(readers, r.endpoint)
	}
	return readers
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// group is the choice with k readers: the first of them that can also write
// receives the request.
func (d *Dispatcher) group(now time.Time, job *Job, fitting, readers []*endpoint, interactive map[string]bool, k int) (choice, bool) {
	chosen := readers[:k]
	i := slices.IndexFunc(chosen, func(e *endpoint) bool { return slices.Contains(fitting, e) })
	if i < 0 {
		return choice{}, false
	}
	c := choice{receiver: chosen[i]}
	for j, e := range chosen {
		if j != i {
			c.helpers = append(c.helpers, e)
		}
	}
	d.weigh(now, job, &c, interactive)
	return c, true
}
