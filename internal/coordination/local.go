package coordination

import (
	"sync"
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// pollInterval is the interval at which a non-empty queue, or an undecided crash of an
// endpoint, is processed in the absence of events.
const pollInterval = 20 * time.Millisecond

// LocalDispatcher runs this VM's dispatcher. It places the jobs of the services that this VM
// holds, and keeps a local view of the other services. It refuses the jobs whose prompts
// have a part that crashes endpoints. It is safe for concurrent use.
type LocalDispatcher struct {
	// vm is this VM.
	vm         string
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	tracker    *quarantine.Tracker
	verdicts   *quarantine.List
	pollTimer  *time.Timer
	// pollPending is true while pollTimer is running.
	pollPending bool
	// onDecisions receives the decisions, and onFindings the parts of prompts that this
	// VM's view shows to crash endpoints, or not to. Both are called without the lock.
	onDecisions func([]dispatch.Decision)
	onFindings  func([]quarantine.Finding)
	// onLimitChange receives the changes of endpoints' limits, and the VM that reported
	// them. It may be called with the lock and must not block.
	onLimitChange func(change dispatch.LimitChange, from string)
	// limited is true if the limit of an endpoint is known.
	limited atomic.Bool
	// findings are those of the current event.
	findings []quarantine.Finding
}

// NewLocalDispatcher returns a LocalDispatcher without services and endpoints.
func NewLocalDispatcher(cfg dispatch.Config, limits quarantine.Config) *LocalDispatcher {
	verdicts := quarantine.NewList(limits)
	l := &LocalDispatcher{
		dispatcher: dispatch.New(cfg),
		tracker:    quarantine.NewTracker(limits, verdicts),
		verdicts:   verdicts,
	}
	l.pollTimer = time.AfterFunc(time.Hour, l.poll)
	l.pollTimer.Stop()
	return l
}

// setVM sets this VM; it is called before the first event.
func (l *LocalDispatcher) setVM(vm string) {
	l.vm = vm
	l.dispatcher.SetVM(vm)
}

// SetServices replaces the services.
func (l *LocalDispatcher) SetServices(services []dispatch.Service) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.SetServices(now, services) })
}

// SetEndpoints replaces the endpoints on which jobs may be placed.
func (l *LocalDispatcher) SetEndpoints(list []dispatch.Endpoint) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, list) })
}

// submit queues a job, unless its prompt has a part that is withheld.
func (l *LocalDispatcher) submit(job dispatch.Job) {
	if refusal, withheld := l.refuse(job); withheld {
		l.onDecisions([]dispatch.Decision{refusal})
		return
	}
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.Submit(now, job) })
}

// refuse returns the refusal of a job whose prompt has a part that is withheld, and false for
// others.
func (l *LocalDispatcher) refuse(job dispatch.Job) (dispatch.Decision, bool) {
	subject, wait := l.Withheld(job.Service, "", job.Parts)
	if subject.None() {
		return dispatch.Decision{}, false
	}
	return dispatch.Decision{
		Owner:   job.Owner,
		Refusal: &dispatch.Refusal{Job: job.ID, Reason: dispatch.ReasonWithheld, RetryAfter: wait},
	}, true
}

// submitRemote queues a job of another VM, unless its prompt is withheld. It returns the
// decision if it is immediate, or the placement if the job was placed before and the
// response was lost; otherwise the message has no decision.
func (l *LocalDispatcher) submitRemote(m jobMessage, owner string) decisionMessage {
	job := m.job(time.Now(), owner)
	if refusal, withheld := l.refuse(job); withheld {
		return encodeDecision(refusal)
	}
	var placed dispatch.Placement
	var known bool
	key := job.Key()
	decisions := l.step(func(now time.Time, d *dispatch.Dispatcher) {
		d.Submit(now, job)
		placed, known = d.Placement(key)
	})
	answer := decisionMessage{Job: m.ID}
	if known {
		answer = encodeDecision(dispatch.Decision{Placement: &placed})
	}
	suspicious := l.suspicious(job.Service)
	others := make([]dispatch.Decision, 0, len(decisions))
	for _, d := range decisions {
		if d.Key() == key {
			answer = encodeDecision(d)
			continue
		}
		others = append(others, d)
	}
	if len(others) > 0 {
		l.onDecisions(others)
	}
	answer.Suspicious = suspicious
	return answer
}

// endsInTime reports whether a placed job ends before its owner exits.
func (l *LocalDispatcher) endsInTime(job dispatch.Job, p dispatch.Placement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.EndsInTime(time.Now(), job, p)
}

// applyUpdate applies an update on a job of the owner.
func (l *LocalDispatcher) applyUpdate(owner string, u jobUpdate) {
	key := dispatch.JobKey{Owner: owner, ID: u.Job}
	l.handle(func(now time.Time, d *dispatch.Dispatcher) {
		switch {
		case u.Adopted != nil:
			l.adopt(now, owner, u.Adopted)
		case u.Limit != nil:
			change, changed := d.ObserveLimit(now, key, u.Limit.stated())
			l.limited.Store(d.KnowsLimits())
			if changed {
				l.onLimitChange(change, owner)
			}
		case u.Began:
			d.FirstEvent(now, key)
			l.tracker.Began(now, key)
		case u.Finished:
			d.Finished(now, key, u.Outcome, u.Blamed)
			l.findings = append(l.findings, l.tracker.Ended(now, key, trackedEnd(u.end()), u.identity())...)
		}
	})
}

// adopt records a job that another dispatcher placed; the lock is held.
func (l *LocalDispatcher) adopt(now time.Time, owner string, a *adoptedJob) {
	placement := a.Placement.decision().Placement
	if placement == nil {
		return
	}
	job := a.Job.job(now, owner)
	l.dispatcher.AdoptPlaced(now, a.placedAt(now), job, *placement, a.Began)
	if owner == l.vm {
		l.dispatcher.CountAdopted(now, job.Key())
	}
	l.track(now, job, *placement)
	if a.Began {
		l.tracker.Began(now, job.Key())
	}
}

// dropJobs removes all jobs of a VM that is no longer live or has restarted.
func (l *LocalDispatcher) dropJobs(vm string) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) {
		d.DropOwner(now, vm)
		l.tracker.DropOwner(vm)
	})
}

// dropTerms removes a VM's jobs of the service that are of earlier terms.
func (l *LocalDispatcher) dropTerms(vm string, r reset) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.DropTerms(now, vm, r.Service, r.Term) })
}

// Waiting returns the number of queued jobs.
func (l *LocalDispatcher) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Queued()
}

// Placed returns the number of placed jobs in the local dispatcher's view.
func (l *LocalDispatcher) Placed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Placed()
}

// Searches returns the number of searches for the assignment of a prompt so far.
func (l *LocalDispatcher) Searches() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Searches()
}

func (l *LocalDispatcher) poll() {
	l.mu.Lock()
	l.pollPending = false
	l.mu.Unlock()
	l.handle(func(time.Time, *dispatch.Dispatcher) {})
}

// handle runs the event on the dispatcher and passes on the resulting decisions.
func (l *LocalDispatcher) handle(event func(now time.Time, d *dispatch.Dispatcher)) {
	if decisions := l.step(event); len(decisions) > 0 {
		l.onDecisions(decisions)
	}
}

// step runs the event on the dispatcher and returns the resulting decisions. It passes
// on the resulting findings.
func (l *LocalDispatcher) step(event func(now time.Time, d *dispatch.Dispatcher)) []dispatch.Decision {
	decisions, findings := l.stepLocked(event)
	if len(findings) > 0 {
		l.onFindings(findings)
	}
	return decisions
}

func (l *LocalDispatcher) stepLocked(event func(now time.Time, d *dispatch.Dispatcher)) ([]dispatch.Decision, []quarantine.Finding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	event(now, l.dispatcher)
	decisions := l.dispatcher.Decide(now)
	for _, d := range decisions {
		if job, placed := l.dispatcher.PlacedJob(d.Key()); placed && d.Placement != nil {
			l.track(now, job, *d.Placement)
		}
	}
	l.findings = append(l.findings, l.tracker.Tick(now)...)
	findings := l.findings
	l.findings = nil
	if (l.dispatcher.Queued() > 0 || l.tracker.Undecided()) && !l.pollPending {
		l.pollPending = true
		l.pollTimer.Reset(pollInterval)
	}
	return decisions, findings
}
