package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// assignment is one way to serve a prompt.
type assignment struct {
	receiver *endpoint
	helpers  []*endpoint
	// shares are the memory in tokens that the first helpers hold.
	shares []int
	// firstMs is the predicted time to the first event.
	firstMs float64
	// cost is what the choice costs in worth, to this job and to others.
	cost float64
	// interference is the part of the cost that others pay, without the time that is taken
	// from them, which is the same for each choice.
	interference float64
}

// decidePrompt chooses the engines that read and write a prompt, or lets it wait
// for a better time.
func (d *Dispatcher) decidePrompt(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	late := d.rank(now, job) == rankLongLate
	light := d.light(job)
	if late && d.longHeld || light && d.fullService == job.Service {
		return d.hold(now, job)
	}
	best, found := d.bestAssignment(now, job, pool)
	if !found {
		if light && len(job.Avoid) == 0 {
			d.fullService = job.Service
		}
		d.longHeld = d.longHeld || !late && !light
		return d.handleNoCapacity(now, job, pool)
	}
	if d.acceptable(now, job, best, late) {
		return d.placeAssignment(now, job, best), true
	}
	d.longHeld = d.longHeld || !late
	return d.hold(now, job)
}

// acceptable reports whether a job rather takes the choice than waits for a better
// one.
func (d *Dispatcher) acceptable(now time.Time, job *Job, c assignment, late bool) bool {
	light := d.light(job)
	if !light && missesCutoff(now, c.firstMs, d.firstEventCutoff(job)) {
		return false
	}
	value := d.value(job)
	interference, regret := c.interference, c.interference
	if !light {
		interference += d.prefillPrice(now, job) * c.receiver.engine.ReadMs(job.Prompt, 1)
		regret = interference + value*d.avoidableLateness(now, job, c.firstMs)
	}
	achievableValue := value
	if late {
		achievableValue *= 1 - d.cfg.LateLoss
	}
	if regret <= d.cfg.HoldThreshold*achievableValue {
		return true
	}
	return interference < achievableValue && d.isUrgent(now, job, c)
}

// avoidableLateness is the share of a job's worth that it loses against being read by all
// engines at once.
func (d *Dispatcher) avoidableLateness(now time.Time, job *Job, firstMs float64) float64 {
	return d.latenessLoss(now, job, firstMs) - d.latenessLoss(now, job, d.minPrefillMs(job))
}

// isUrgent reports whether a job has waited for half the time to its goal, and
// the choice is still on time: a better one may come too late.
func (d *Dispatcher) isUrgent(now time.Time, job *Job, c assignment) bool {
	pastHalf := now.Sub(job.Arrived) > job.Due.Sub(job.Arrived)/2
	return pastHalf && now.Add(engine.Duration(c.firstMs)).Before(job.Due)
}

// minPrefillMs is the time in which as many engines as there may be read a prompt
// together.
func (d *Dispatcher) minPrefillMs(job *Job) float64 {
	engines := min(d.cfg.MaxPrefillEngines, max(1, len(d.pools[job.Service])))
	return d.services[job.Service].ReadMs(job.Prompt, engines)
}

// hold lets a job wait as long as it can still be answered.
func (d *Dispatcher) hold(now time.Time, job *Job) (Decision, bool) {
	minWait := engine.Duration(d.minPrefillMs(job)) + d.cfg.QueueMargin
	if now.Add(minWait).After(d.firstEventCutoff(job)) {
		return refuse(job, ReasonTooLate, refusalRetryAfter), true
	}
	return Decision{}, false
}

// handleNoCapacity keeps a job that finds all slots or memory taken.
func (d *Dispatcher) handleNoCapacity(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
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
		if e.received < e.Slots && need <= e.freeTokens(d.cfg.MemoryShare) {
			fit = append(fit, e)
		}
	}
	return fit
}

func (d *Dispatcher) placeAssignment(now time.Time, job *Job, c assignment) Decision {
	p := Placement{Job: job.ID, Endpoint: c.receiver.ID, Shares: c.shares, Predicted: engine.Duration(c.firstMs)}
	for _, h := range c.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	return d.place(now, job, p)
}

// bestAssignment weighs each receiver and number of readers.
func (d *Dispatcher) bestAssignment(now time.Time, job *Job, pool []*endpoint) (assignment, bool) {
	interactive := d.interactive(now, job.Service, len(d.pools[job.Service]))
	if d.oversize(job, pool) {
		return d.bestOversize(now, job, pool, interactive)
	}
	fitting := d.fitting(job, pool)
	if len(fitting) == 0 {
		return assignment{}, false
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
	active, backlogMs := float64(m.active), m.backlogMs
	for _, q := range d.queue {
		if q.Service == service && d.light(&q.Job) {
			active++
			backlogMs += f.ReadMs(q.Prompt, 1)
		}
	}
	arriving := m.lightRate.current(now, d.cfg.RateWindow)
	want := max((active+arriving*arrivalHorizon.Seconds())/d.cfg.LightJobsPerEngine, backlogMs/d.cfg.LightBacklogMs)
	n := min(int(math.Ceil(want)), pool)
	set := make(map[string]bool, n)
	for _, e := range d.pools[service][:n] {
		set[e.ID] = true
	}
	return set
}

// arrivalHorizon is the time for whose arrivals room is kept.
const arrivalHorizon = 200 * time.Millisecond

func (d *Dispatcher) bestLight(now time.Time, job *Job, fitting []*endpoint, interactive map[string]bool) assignment {
	best := assignment{cost: math.Inf(1)}
	for _, e := range fitting {
		c := assignment{receiver: e}
		d.evaluate(now, job, &c, interactive)
		if !interactive[e.ID] {
			c.cost += d.cfg.NonInteractivePenalty * d.value(job)
		}
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

// bestLong tries each number of readers, the engines with the least to read
// first.
func (d *Dispatcher) bestLong(now time.Time, job *Job, pool, fitting []*endpoint, interactive map[string]bool) (assignment, bool) {
	candidates := d.prefillCandidates(now, job, pool, interactive)
	best := assignment{cost: math.Inf(1)}
	for k := 1; k <= min(d.cfg.MaxPrefillEngines, len(candidates)); k++ {
		c, ok := d.group(now, job, fitting, candidates, interactive, k)
		if ok && c.cost < best.cost {
			best = c
		}
	}
	return best, best.receiver != nil
}

// typicalPrefillEngines is the number of readers for which engines are compared.
const typicalPrefillEngines = 4

// prefillCandidates lists the engines of the pool that can take a part: those where a part does least harm first,
// and among them those that would read it first.
func (d *Dispatcher) prefillCandidates(now time.Time, job *Job, pool []*endpoint, interactive map[string]bool) []*endpoint {
	type candidate struct {
		*endpoint
		reserved     bool
		interference float64
		firstMs      float64
	}
	maxBacklogMs := d.cfg.MaxBacklogMs
	if d.rank(now, job) == rankLongLate {
		maxBacklogMs = d.cfg.LateBacklogMs
	}
	var list []candidate
	for _, e := range pool {
		if e.helped >= e.Slots || e.model.ReadingMs(now) > maxBacklogMs {
			continue
		}
		interference, firstMs := d.evaluatePart(now, job, e, typicalPrefillEngines, interactive)
		list = append(list, candidate{e, interactive[e.ID], interference, firstMs})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.reserved != b.reserved {
			return cmp.Compare(boolRank(a.reserved), boolRank(b.reserved))
		}
		return cmp.Or(cmp.Compare(a.interference, b.interference), cmp.Compare(a.firstMs, b.firstMs))
	})
	sorted := make([]*endpoint, 0, len(list))
	for _, c := range list {
		sorted = append(sorted, c.endpoint)
	}
	return sorted
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// group is the choice with k readers: the first of them that can also write
// receives the request.
func (d *Dispatcher) group(now time.Time, job *Job, fitting, candidates []*endpoint, interactive map[string]bool, k int) (assignment, bool) {
	chosen := candidates[:k]
	i := slices.IndexFunc(chosen, func(e *endpoint) bool { return slices.Contains(fitting, e) })
	if i < 0 {
		return assignment{}, false
	}
	c := assignment{receiver: chosen[i]}
	for j, e := range chosen {
		if j != i {
			c.helpers = append(c.helpers, e)
		}
	}
	d.evaluate(now, job, &c, interactive)
	return c, true
}
