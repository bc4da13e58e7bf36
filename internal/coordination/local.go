package coordination

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

// pollInterval is the time between two looks at the queue where nothing happens.
const pollInterval = 20 * time.Millisecond

// Local runs this VM's dispatcher: the holder's for the groups that this VM
// holds, and its own view for the others. It is safe for concurrent use.
type Local struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	wake       *time.Timer
	// armed says that wake will fire.
	armed bool
	// told takes the decisions, outside the lock.
	told func([]dispatch.Decision)
}

// NewLocal returns a Local.
func NewLocal(cfg dispatch.Config) *Local {
	l := &Local{dispatcher: dispatch.New(cfg)}
	l.wake = time.AfterFunc(time.Hour, l.poll)
	l.wake.Stop()
	return l
}

// SetServices replaces what is known of the services.
func (l *Local) SetServices(services []dispatch.Service) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) { d.SetServices(now, services) })
}

// SetEndpoints replaces the endpoints that may get work.
func (l *Local) SetEndpoints(list []dispatch.Endpoint) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, list) })
}

// submit queues a job.
func (l *Local) submit(job dispatch.Job) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) { d.Submit(now, job) })
}

// submitRemote queues a job of another VM and returns the decision, if it comes
// at once or was made before and its answer lost.
func (l *Local) submitRemote(m jobMessage, owner string) decisionMessage {
	var placed dispatch.Placement
	var known bool
	decisions := l.step(func(now time.Time, d *dispatch.Dispatcher) {
		d.Submit(now, m.job(now, owner))
		placed, known = d.Placement(m.ID)
	})
	answer := decisionMessage{Job: m.ID}
	if known {
		answer = encodeDecision(dispatch.Decision{Placement: &placed})
	}
	others := make([]dispatch.Decision, 0, len(decisions))
	for _, d := range decisions {
		if d.JobID() == m.ID {
			answer = encodeDecision(d)
			continue
		}
		others = append(others, d)
	}
	if len(others) > 0 {
		l.told(others)
	}
	return answer
}

// note carries out what happened to a job of the owner.
func (l *Local) note(owner string, n note) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) {
		switch {
		case n.Adopted != nil:
			placement := n.Adopted.Placement.decision().Placement
			if placement != nil {
				d.Adopt(now, n.Adopted.Job.job(now, owner), *placement, n.Adopted.Began)
			}
		case n.Began:
			d.Began(now, n.Job)
		case n.Finished:
			d.Finished(now, n.Job, n.Outcome, n.Blamed)
		}
	})
}

// dropOwner forgets the jobs of a VM that is gone.
func (l *Local) dropOwner(vm string) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) { d.DropOwner(now, vm) })
}

// dropTerms forgets the jobs of a VM that are of earlier terms.
func (l *Local) dropTerms(vm string, r reset) {
	l.do(func(now time.Time, d *dispatch.Dispatcher) { d.DropTerms(now, vm, r.Service, r.Term) })
}

// Waiting is the number of jobs that wait here.
func (l *Local) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Waiting()
}

// Placed is the number of jobs at endpoints, as far as is known here.
func (l *Local) Placed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Placed()
}

func (l *Local) poll() {
	l.mu.Lock()
	l.armed = false
	l.mu.Unlock()
	l.do(func(time.Time, *dispatch.Dispatcher) {})
}

// do hands the dispatcher an event and tells what it decides.
func (l *Local) do(event func(now time.Time, d *dispatch.Dispatcher)) {
	if decisions := l.step(event); len(decisions) > 0 {
		l.told(decisions)
	}
}

// step hands the dispatcher an event and returns what it decides.
func (l *Local) step(event func(now time.Time, d *dispatch.Dispatcher)) []dispatch.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	event(now, l.dispatcher)
	decisions := l.dispatcher.Decide(now)
	if l.dispatcher.Waiting() > 0 && !l.armed {
		l.armed = true
		l.wake.Reset(pollInterval)
	}
	return decisions
}
