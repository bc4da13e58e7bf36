package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// assignment is a candidate set of engines for a prompt.
type assignment struct {
	receiver *endpoint
	helpers  []*endpoint
	// shares is the KV-cache memory, in tokens, that each of the first helpers
	// holds.
	shares []int
	// firstMs is the predicted time to the first event.
	firstMs float64
	// cost is the value that this job and others lose.
	cost float64
	// interference is the part of the cost that falls on other jobs, without
	// that of the engine time used, which is the same for each assignment.
	interference float64
}

// decidePrompt places a prompt with its best assignment, holds it for a better
// one, or refuses it.
func (d *Dispatcher) decidePrompt(now time.Time, job *Job, pool []*endpoint) (Decision, bool) {
	late := d.rank(now, job) == rankLongLate
	light := d.light(job)
	if late && d.longHeld {
		return d.hold(now, job)
	}
	best, found := d.bestAssignment(now, job, pool)
	if !found {
		if light && job.unrestricted() {
			d.fullService = job.Service
		}
		d.longHeld = d.longHeld || !late && !light
		return d.handleNoCapacity(now, job)
	}
	if d.acceptable(now, job, best, late) {
		return d.placeAssignment(now, job, best), true
	}
	if light && job.unrestricted() {
		d.demandOf(job.Service).countHeldLight(now, d.cfg.LightRecheckInterval)
	}
	d.longHeld = d.longHeld || !late
	return d.hold(now, job)
}

// lightClosed reports whether the job is a light one that is held without a search for
// an assignment, because others of its service have just found none, or none that does
// not harm other jobs more than it is worth. With a long queue the search for each of its
// jobs, at each event, would take all of the VM's processor time.
func (d *Dispatcher) lightClosed(now time.Time, job *Job) bool {
	if !d.light(job) {
		return false
	}
	m := d.demandOf(job.Service)
	return d.fullService == job.Service || m.heldLight >= d.cfg.HeldLightSearches && now.Before(m.heldUntil)
}

// acceptable reports whether the job is placed with this assignment rather than
// held for a better one.
func (d *Dispatcher) acceptable(now time.Time, job *Job, c assignment, late bool) bool {
	light := d.light(job)
	if !light && missesCutoff(now, c.firstMs, d.firstEventCutoff(job)) {
		return false
	}
	if !d.endsBeforeOwnerExits(now, job, engine.Duration(c.firstMs)) {
		return false
	}
	value := d.value(job)
	interference, regret := c.interference, c.interference
	if !light {
		interference += d.prefillPrice(now, job) * c.receiver.engine.PrefillMs(job.PromptTokens, 1)
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

// avoidableLateness returns the share of its value that a job loses compared
// with a prefill by as many engines as possible, starting now.
func (d *Dispatcher) avoidableLateness(now time.Time, job *Job, firstMs float64) float64 {
	return d.latenessLoss(now, job, firstMs) - d.latenessLoss(now, job, d.minPrefillMs(job))
}

// isUrgent reports whether more than half of the time to the job's goal has
// passed and the assignment is still on time: a better one may come too late.
func (d *Dispatcher) isUrgent(now time.Time, job *Job, c assignment) bool {
	pastHalf := now.Sub(job.Arrived) > job.Due.Sub(job.Arrived)/2
	return pastHalf && now.Add(engine.Duration(c.firstMs)).Before(job.Due)
}

// minPrefillMs returns the prefill time, in ms, of a prompt on as many engines
// as possible.
func (d *Dispatcher) minPrefillMs(job *Job) float64 {
	engines := min(d.cfg.MaxPrefillEngines, max(1, len(d.pools[job.Service])))
	return d.services[job.Service].PrefillMs(job.PromptTokens, engines)
}

// hold keeps a job queued as long as it can still be answered in time, and
// refuses it otherwise.
func (d *Dispatcher) hold(now time.Time, job *Job) (Decision, bool) {
	if now.After(d.latestStart(job)) {
		return refuseTooLate(job, refusalRetryAfter), true
	}
	return Decision{}, false
}

// latestStart returns the time after which a held prompt can't begin by its first-event cutoff.
func (d *Dispatcher) latestStart(job *Job) time.Time {
	return d.firstEventCutoff(job).Add(-engine.Duration(d.minPrefillMs(job)) - d.cfg.QueueMargin)
}

// handleNoCapacity holds a job for which there are no free slots or memory, and
// refuses one that is too large for its service.
func (d *Dispatcher) handleNoCapacity(now time.Time, job *Job) (Decision, bool) {
	if d.tooLarge(job) {
		return refuse(job, ReasonTooLarge, 0), true
	}
	return d.hold(now, job)
}

// fitting returns the engines with a free slot and enough free memory for the
// job. The list is valid until the next call.
func (d *Dispatcher) fitting(job *Job, pool []*endpoint) []*endpoint {
	fit := d.scratch.fitting[:0]
	for _, e := range pool {
		if d.fits(job, e) {
			fit = append(fit, e)
		}
	}
	d.scratch.fitting = fit
	return fit
}

func (d *Dispatcher) fits(job *Job, e *endpoint) bool {
	return !e.helperOnly && e.received < e.Slots && job.PromptTokens+job.AnswerTokens <= e.freeTokens(d.cfg.MemoryShare)
}

func (d *Dispatcher) placeAssignment(now time.Time, job *Job, c assignment) Decision {
	p := Placement{Job: job.ID, Endpoint: c.receiver.ID, Shares: c.shares, Predicted: engine.Duration(c.firstMs)}
	for _, h := range c.helpers {
		p.Helpers = append(p.Helpers, h.ID)
	}
	return d.place(now, job, p)
}

// bestAssignment returns the cheapest assignment over the receivers and the
// numbers of prefill engines.
func (d *Dispatcher) bestAssignment(now time.Time, job *Job, pool []*endpoint) (assignment, bool) {
	d.searches++
	interactive := d.interactive(now, job.Service, len(d.pools[job.Service]))
	if d.oversize(job, pool) {
		return d.bestOversize(now, job, pool, interactive)
	}
	fitting := d.fitting(job, pool)
	if len(fitting) == 0 {
		return assignment{}, false
	}
	if d.light(job) {
		return d.bestLight(now, job, d.sampleForLight(fitting, interactive), interactive), true
	}
	return d.bestLong(now, job, d.sampleForLong(job, pool, interactive), interactive)
}

// interactive returns the number of engines that are kept free of long prefills: as many
// as the light jobs need for decoding and for a short prefill backlog. They are the first
// ones of the service's pool.
func (d *Dispatcher) interactive(now time.Time, service string, pool int) int {
	f := d.services[service]
	m := d.demandOf(service)
	active, backlogMs := float64(m.active), m.backlogMs
	for _, q := range d.queue {
		if q.Service == service && d.light(&q.Job) {
			active++
			backlogMs += f.PrefillMs(q.PromptTokens, 1)
		}
	}
	arriving := m.lightRate.current(now, d.cfg.RateWindow)
	want := max((active+arriving*arrivalHorizon.Seconds())/d.cfg.LightJobsPerEngine, backlogMs/d.cfg.LightBacklogMs)
	return min(int(math.Ceil(want)), pool)
}

// arrivalHorizon is how far ahead arrivals of light jobs are counted when
// engines are kept free for them.
const arrivalHorizon = 200 * time.Millisecond

// bestLight returns the cheapest assignment of a light job to one engine. It is replaced by one of the
// owner's failure domain that costs less than RemotePenalty more, if that is interactive as well or
// not, and doesn't make the job wait.
func (d *Dispatcher) bestLight(now time.Time, job *Job, fitting []*endpoint, interactive int) assignment {
	best := assignment{cost: math.Inf(1)}
	// near has the cheapest assignments in the owner's domain to interactive and to other engines.
	near := [2]assignment{best, best}
	for _, e := range fitting {
		c := assignment{receiver: e}
		d.evaluate(now, job, &c, interactive)
		if e.index >= interactive {
			c.cost += d.cfg.NonInteractivePenalty * d.value(job)
		}
		if c.cost < best.cost {
			best = c
		}
		if n := &near[boolRank(e.index < interactive)]; c.cost < n.cost && d.near(job, e) {
			*n = c
		}
	}
	if !d.prefersNear(job) || d.near(job, best.receiver) {
		return best
	}
	n := near[boolRank(best.receiver.index < interactive)]
	if n.receiver != nil && n.cost < best.cost+d.cfg.RemotePenalty*d.value(job) && d.acceptable(now, job, n, false) {
		return n
	}
	return best
}

// bestLong tries each number of prefill engines, in the order of
// prefillCandidates.
func (d *Dispatcher) bestLong(now time.Time, job *Job, pool []*endpoint, interactive int) (assignment, bool) {
	candidates := d.prefillCandidates(now, job, pool, interactive)
	best := assignment{cost: math.Inf(1)}
	for k := 1; k <= min(d.cfg.MaxPrefillEngines, len(candidates)); k++ {
		c, ok := d.group(now, job, candidates, interactive, k)
		if ok && c.cost < best.cost {
			best = c
		}
	}
	return best, best.receiver != nil
}

// typicalPrefillEngines is the number of prefill engines that is assumed when
// engines are compared.
const typicalPrefillEngines = 4

// prefillCandidates returns the engines of the pool that can take a part of the
// prompt: those outside the interactive set first, then those with less
// interference, then those that would prefill the part sooner.
func (d *Dispatcher) prefillCandidates(now time.Time, job *Job, pool []*endpoint, interactive int) []*endpoint {
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
		if e.helped >= e.Slots || e.model.PendingPrefillMs(now) > maxBacklogMs {
			continue
		}
		interference, firstMs := d.evaluatePart(now, job, e, typicalPrefillEngines, interactive)
		list = append(list, candidate{e, e.index < interactive, interference, firstMs})
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

// group returns the assignment to the first k candidates. The first of them
// that has room for the job is the receiver, or one of the owner's failure
// domain that nearReceiver prefers to it.
func (d *Dispatcher) group(now time.Time, job *Job, candidates []*endpoint, interactive, k int) (assignment, bool) {
	chosen := candidates[:k]
	i := slices.IndexFunc(chosen, func(e *endpoint) bool { return d.fits(job, e) })
	if i < 0 {
		return assignment{}, false
	}
	i = d.nearReceiver(job, chosen, i, interactive)
	c := assignment{receiver: chosen[i]}
	for j, e := range chosen {
		if j != i {
			c.helpers = append(c.helpers, e)
		}
	}
	d.evaluate(now, job, &c, interactive)
	return c, true
}
