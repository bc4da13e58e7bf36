package node

import (
	"context"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// The events, actions, guards and states of the vm chart.
const (
	evDrain      statechart.Event = "drain"
	evBalanced   statechart.Event = "balanced"
	evIdle       statechart.Event = "idle"
	evHandedOver statechart.Event = "handed_over"
	evKill       statechart.Event = "kill"

	doTellPeers     statechart.Action = "tell_peers"
	doHandOver      statechart.Action = "hand_over"
	doAwaitBalancer statechart.Action = "await_balancer"
	doRefuseNew     statechart.Action = "refuse_new"
	doAwaitRequests statechart.Action = "await_requests"
	doExit          statechart.Action = "exit"
	doCut           statechart.Action = "cut"

	hasHandedOver statechart.Guard = "has_handed_over"

	stateServing statechart.State = "serving"
)

// handOverTimeout bounds the hand-over. Resources that were not released by then
// expire by their own time limits.
const handOverTimeout = 15 * time.Second

// HandOver releases a cluster-wide resource that this VM holds, such as its
// leases, so that another VM need not wait until it expires. Run is called when
// the VM shuts down; Name stands for the resource in the log.
type HandOver struct {
	Name string
	Run  func(ctx context.Context) error
}

// lifecycle runs the state machine of the vm chart and executes its actions.
type lifecycle struct {
	log           *event.Logger
	drainGrace    time.Duration
	notifyPeers   func()
	refuseNew     func()
	awaitRequests func()
	inFlightCount func() int

	mu              sync.Mutex
	machine         *statechart.Machine
	handOvers       []HandOver
	handedOver      bool
	unfinishedCount int
	done            chan struct{}
	wg              sync.WaitGroup
}

// start creates the state machine in the chart's initial state.
func (l *lifecycle) start() error {
	l.done = make(chan struct{})
	machine, err := statechart.NewMachine(statechart.MustLoad("vm"), statechart.Guards{
		hasHandedOver: func() bool { return l.handedOver },
	})
	l.machine = machine
	return err
}

// addHandOver registers a hand-over to run when the VM shuts down.
func (l *lifecycle) addHandOver(h HandOver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handOvers = append(l.handOvers, h)
}

// state returns the current state of the chart.
func (l *lifecycle) state() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// cut returns the number of requests that were in flight when the VM was killed.
func (l *lifecycle) cut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unfinishedCount
}

func (l *lifecycle) fire(ev statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handedOver = l.handedOver || ev == evHandedOver
	actions, err := l.machine.Fire(ev)
	if err != nil {
		// The loader has verified that each state handles or ignores each event.
		panic(err)
	}
	for _, a := range actions {
		l.startAction(a)
	}
}

// startAction starts an action without waiting for its end. The caller must hold
// mu.
func (l *lifecycle) startAction(a statechart.Action) {
	switch a {
	case doTellPeers:
		l.log.Emit(event.Leaving{InFlight: l.inFlightCount()})
		l.wg.Go(l.notifyPeers)
	case doHandOver:
		list := l.handOvers
		l.wg.Go(func() {
			l.runHandOvers(list)
			l.fire(evHandedOver)
		})
	case doAwaitBalancer:
		time.AfterFunc(l.drainGrace, func() { l.fire(evBalanced) })
	case doRefuseNew:
		l.refuseNew()
	case doAwaitRequests:
		l.wg.Go(func() {
			l.awaitRequests()
			l.fire(evIdle)
		})
	case doCut:
		l.unfinishedCount = l.inFlightCount()
		close(l.done)
	case doExit:
		close(l.done)
	}
}

// runHandOvers runs the hand-overs concurrently and waits for them. Failures are
// only logged.
func (l *lifecycle) runHandOvers(list []HandOver) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range list {
		wg.Go(func() {
			if err := h.Run(ctx); err != nil {
				l.log.Emit(event.HandOverFailed{What: h.Name, Reason: err.Error()})
			}
		})
	}
	wg.Wait()
}

// BeginDrain begins a graceful shutdown: the VM is no longer ready, notifies its
// peers, releases what it holds for the cluster, accepts requests until the load
// balancer has had time to notice, and then completes the in-flight requests. The
// channel returned by Done is closed when the shutdown is complete.
func (n *Node) BeginDrain() { n.lifecycle.fire(evDrain) }

// Done returns a channel that is closed when the drain is complete, or when Kill
// was called.
func (n *Node) Done() <-chan struct{} { return n.lifecycle.done }

// Drain shuts the VM down gracefully and waits until the drain is complete.
func (n *Node) Drain() {
	n.BeginDrain()
	<-n.Done()
}

// Kill ends serving or draining immediately. It returns the number of in-flight
// requests, which will not complete.
func (n *Node) Kill() int {
	n.lifecycle.fire(evKill)
	return n.lifecycle.cut()
}

// AddHandOver registers a hand-over to run when the VM shuts down.
func (n *Node) AddHandOver(h HandOver) { n.lifecycle.addHandOver(h) }
