package coordination

import (
	"context"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
)

// pollInterval is the time between two looks at the queue where nothing happens.
const pollInterval = 25 * time.Millisecond

// verdict is what a waiting request is told.
type verdict struct {
	decision dispatch.Decision
	holder   string
}

// Local runs this VM's dispatcher. It is safe for concurrent use.
type Local struct {
	vm string

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[string]chan verdict
	// remote takes the decisions about other VMs' jobs.
	remote func([]dispatch.Decision)
	wake   *time.Timer
	// armed says that wake will fire.
	armed bool
}

// NewLocal returns a Local of the VM.
func NewLocal(vm string, cfg dispatch.Config) *Local {
	l := &Local{vm: vm, dispatcher: dispatch.New(cfg), waiting: make(map[string]chan verdict)}
	l.wake = time.AfterFunc(time.Hour, l.poll)
	l.wake.Stop()
	return l
}

// SetServices replaces what is known of the services.
func (l *Local) SetServices(services []dispatch.Service) {
	l.do(func(time.Time) { l.dispatcher.SetServices(services) })
}

// SetEndpoints replaces the endpoints that may get work.
func (l *Local) SetEndpoints(list []dispatch.Endpoint) {
	l.do(func(time.Time) { l.dispatcher.SetEndpoints(list) })
}

// Place implements gateway.Placer.
func (l *Local) Place(ctx context.Context, job dispatch.Job) (gateway.Placed, error) {
	told := make(chan verdict, 1)
	l.mu.Lock()
	l.waiting[job.ID] = told
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiting, job.ID)
		l.mu.Unlock()
	}()
	l.do(func(now time.Time) { l.dispatcher.Submit(now, job) })
	select {
	case v := <-told:
		return v.placed()
	case <-ctx.Done():
		l.Finished(job.ID, dispatch.Abandoned)
		return gateway.Placed{}, ctx.Err()
	}
}

// placed is the verdict as the gateway takes it.
func (v verdict) placed() (gateway.Placed, error) {
	if v.decision.Refusal != nil {
		return gateway.Placed{}, &gateway.RefusedError{Refusal: *v.decision.Refusal, Holder: v.holder}
	}
	return gateway.Placed{Placement: *v.decision.Placement, Holder: v.holder}, nil
}

// Began implements gateway.Placer.
func (l *Local) Began(job string) {
	l.do(func(now time.Time) { l.dispatcher.Began(now, job) })
}

// Finished implements gateway.Placer.
func (l *Local) Finished(job string, outcome dispatch.Outcome) {
	l.do(func(now time.Time) { l.dispatcher.Finished(now, job, outcome) })
}

func (l *Local) poll() {
	l.mu.Lock()
	l.armed = false
	l.mu.Unlock()
	l.do(func(time.Time) {})
}

// do hands the dispatcher an event and carries out what it decides.
func (l *Local) do(step func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	step(now)
	var remote []dispatch.Decision
	for _, decision := range l.dispatcher.Decide(now) {
		if decision.Owner != l.vm {
			remote = append(remote, decision)
			continue
		}
		if told := l.waiting[decision.JobID()]; told != nil {
			told <- verdict{decision, l.vm}
		}
	}
	if len(remote) > 0 && l.remote != nil {
		l.remote(remote)
	}
	if l.dispatcher.Waiting() > 0 && !l.armed {
		l.armed = true
		l.wake.Reset(pollInterval)
	}
}
