package coordination

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

// pollInterval is the interval at which a non-empty queue is processed in the
// absence of events.
const pollInterval = 20 * time.Millisecond

// LocalDispatcher runs this VM's dispatcher. It places the jobs of the services that this VM
// holds, and keeps a local view of the other services. It is safe for concurrent
// use.
type LocalDispatcher struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	pollTimer  *time.Timer
	// pollPending is true while pollTimer is running.
	pollPending bool
	// onDecisions receives the decisions; it is called without the lock.
	onDecisions func([]dispatch.Decision)
}

// NewLocalDispatcher returns a LocalDispatcher without services and endpoints.
func NewLocalDispatcher(cfg dispatch.Config) *LocalDispatcher {
	l := &LocalDispatcher{dispatcher: dispatch.New(cfg)}
	l.pollTimer = time.AfterFunc(time.Hour, l.poll)
	l.pollTimer.Stop()
	return l
}

// SetServices replaces the services.
func (l *LocalDispatcher) SetServices(services []dispatch.Service) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.SetServices(now, services) })
}

// SetEndpoints replaces the endpoints on which jobs may be placed.
func (l *LocalDispatcher) SetEndpoints(list []dispatch.Endpoint) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, list) })
}

// submit queues a job.
func (l *LocalDispatcher) submit(job dispatch.Job) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.Submit(now, job) })
}

// submitRemote queues a job of another VM. It returns the decision if it is
// immediate, or the placement if the job was placed before and the response was
// lost; otherwise the message has no decision.
func (l *LocalDispatcher) submitRemote(m jobMessage, owner string) decisionMessage {
	var placed dispatch.Placement
	var known bool
	key := dispatch.JobKey{Owner: owner, ID: m.ID}
	decisions := l.step(func(now time.Time, d *dispatch.Dispatcher) {
		d.Submit(now, m.job(now, owner))
		placed, known = d.Placement(key)
	})
	answer := decisionMessage{Job: m.ID}
	if known {
		answer = encodeDecision(dispatch.Decision{Placement: &placed})
	}
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
	return answer
}

// applyUpdate applies an update on a job of the owner.
func (l *LocalDispatcher) applyUpdate(owner string, u jobUpdate) {
	key := dispatch.JobKey{Owner: owner, ID: u.Job}
	l.handle(func(now time.Time, d *dispatch.Dispatcher) {
		switch {
		case u.Adopted != nil:
			placement := u.Adopted.Placement.decision().Placement
			if placement != nil {
				d.Adopt(now, u.Adopted.Job.job(now, owner), *placement, u.Adopted.Began)
			}
		case u.Began:
			d.FirstEvent(now, key)
		case u.Finished:
			d.Finished(now, key, u.Outcome, u.Blamed)
		}
	})
}

// dropJobs removes all jobs of a VM that is no longer live or has restarted.
func (l *LocalDispatcher) dropJobs(vm string) {
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.DropOwner(now, vm) })
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

// step runs the event on the dispatcher and returns the resulting decisions.
func (l *LocalDispatcher) step(event func(now time.Time, d *dispatch.Dispatcher)) []dispatch.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	event(now, l.dispatcher)
	decisions := l.dispatcher.Decide(now)
	if l.dispatcher.Queued() > 0 && !l.pollPending {
		l.pollPending = true
		l.pollTimer.Reset(pollInterval)
	}
	return decisions
}
