package node

import (
	"context"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// The names of the vm chart.
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

// handOverTimeout bounds the hand-over; what was not handed over by then expires
// by its own time limit.
const handOverTimeout = 15 * time.Second

// HandOver gives up what this VM holds for all, such as leases, so that another
// VM need not wait until it expires.
type HandOver struct {
	Name string
	Run  func(ctx context.Context) error
}

// lifecycle carries out the vm chart.
type lifecycle struct {
	log      *event.Logger
	grace    time.Duration
	tell     func()
	refuse   func()
	wait     func()
	inFlight func() int

	mu         sync.Mutex
	machine    *statechart.Machine
	handOvers  []HandOver
	handedOver bool
	cut        int
	done       chan struct{}
	wg         sync.WaitGroup
}

// start puts the chart in its first state.
func (l *lifecycle) start() error {
	l.done = make(chan struct{})
	machine, err := statechart.NewMachine(statechart.MustLoad("vm"), statechart.Guards{
		hasHandedOver: func() bool { return l.handedOver },
	})
	l.machine = machine
	return err
}

// onHandOver adds something to give up when the VM shuts down.
func (l *lifecycle) onHandOver(h HandOver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handOvers = append(l.handOvers, h)
}

// state is the chart's state.
func (l *lifecycle) state() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

func (l *lifecycle) fire(ev statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handedOver = l.handedOver || ev == evHandedOver
	actions, err := l.machine.Fire(ev)
	if err != nil {
		// The loader has checked that each state knows each event.
		panic(err)
	}
	for _, a := range actions {
		l.do(a)
	}
}

// do starts an action; the lock is held.
func (l *lifecycle) do(a statechart.Action) {
	switch a {
	case doTellPeers:
		l.log.Emit(event.Leaving{InFlight: l.inFlight()})
		l.wg.Go(l.tell)
	case doHandOver:
		list := l.handOvers
		l.wg.Go(func() {
			l.handOver(list)
			l.fire(evHandedOver)
		})
	case doAwaitBalancer:
		time.AfterFunc(l.grace, func() { l.fire(evBalanced) })
	case doRefuseNew:
		l.refuse()
	case doAwaitRequests:
		l.wg.Go(func() {
			l.wait()
			l.fire(evIdle)
		})
	case doCut:
		l.cut = l.inFlight()
		close(l.done)
	case doExit:
		close(l.done)
	}
}

// handOver gives up everything, side by side.
func (l *lifecycle) handOver(list []HandOver) {
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

// BeginDrain begins a graceful shutdown: the VM is not ready, tells its peers,
// gives up what it holds for all, takes requests until the balancer has had the
// time to notice, and finishes what is in flight. Done tells when that is over.
func (n *Node) BeginDrain() { n.life.fire(evDrain) }

// Done is closed when the VM has finished its last request, or was killed.
func (n *Node) Done() <-chan struct{} { return n.life.done }

// Drain shuts down gracefully and waits for the end.
func (n *Node) Drain() {
	n.BeginDrain()
	<-n.Done()
}

// Kill ends the shutdown at once and returns the number of requests in flight,
// which are cut off.
func (n *Node) Kill() int {
	n.life.fire(evKill)
	n.life.mu.Lock()
	defer n.life.mu.Unlock()
	return n.life.cut
}

// OnHandOver adds something to give up when the VM shuts down.
func (n *Node) OnHandOver(h HandOver) { n.life.onHandOver(h) }
