package main

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

const (
	// settleTime is added to the end of a fault before it counts as over.
	settleTime = 2 * time.Second
	// leavingBound is the time after which an endpoint that leaves gets no more
	// requests: the reads of the store by the VMs, and some of their time-outs.
	leavingBound = 4 * time.Second
	// maxFault is the longest time of one fault.
	maxFault = 3 * time.Second
	// maxBackup is the greatest age of the copy from which the store is restored.
	maxBackup = 3 * time.Second
)

// fault is one disturbance: it begins, lasts, and ends.
type fault struct {
	name  string
	begin func()
	end   func()
	// vm is the VM whose requests it may cut off; empty for all.
	vm string
}

// noVM is the VM of a fault that may cut off no request.
const noVM = "none"

// faults draws disturbances from a seed and lets them overlap.
type faults struct {
	w      *world
	random *rand.Rand
	log    func(string)
	wg     sync.WaitGroup
	// busy are the VMs whose processes are disturbed.
	mu   sync.Mutex
	busy map[string]bool
}

// run begins a fault every 0.2 to 0.8 s until the context ends, and waits for their ends.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		next, length := f.draw(), 200*time.Millisecond+f.upTo(maxFault)
		f.log(next.name)
		f.w.checks.addDisturbance(span{next.vm, time.Now(), time.Now().Add(length + settleTime)})
		next.begin()
		f.wg.Go(func() {
			time.Sleep(length)
			next.end()
		})
		select {
		case <-ctx.Done():
		case <-time.After(200*time.Millisecond + f.upTo(600*time.Millisecond)):
		}
	}
	f.wg.Wait()
}

func (f *faults) upTo(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) }

func (f *faults) draw() fault {
	draws := []func() fault{f.store, f.store, f.storeLink, f.endpointFault, f.endpointFault, f.endpointLink, f.leave, f.configure, f.process, f.process}
	return draws[f.random.IntN(len(draws))]()
}

func none() {}

func (f *faults) store() fault {
	s := f.w.store
	heal := func() { s.SetFault(platformtest.StoreFault{}) }
	switch f.random.IntN(6) {
	case 0:
		return fault{"store silent", func() { s.SetFault(platformtest.StoreFault{Silent: true}) }, heal, noVM}
	case 1:
		return fault{"store resets", func() { s.SetFault(platformtest.StoreFault{Reset: true}) }, heal, noVM}
	case 2:
		return fault{"store busy", func() { s.SetFault(platformtest.StoreFault{Busy: true}) }, heal, noVM}
	case 3:
		return fault{"store slow, loses answers", func() {
			s.SetFault(platformtest.StoreFault{Delay: 150 * time.Millisecond, LoseWrites: 0.3})
		}, heal, noVM}
	case 4:
		return fault{"store forgets its history", s.Compact, none, noVM}
	}
	age := f.upTo(maxBackup)
	return fault{"store away, restored from a copy", func() {
		s.SetFault(platformtest.StoreFault{Reset: true})
		s.Restore(age)
	}, func() {
		heal()
		f.w.rewrite()
	}, noVM}
}

func (f *faults) linkFault() linkFault {
	return []linkFault{{Delay: 20 * time.Millisecond}, {Silent: true}, {OneWay: true}, {Reset: true}}[f.random.IntN(4)]
}

func (f *faults) storeLink() fault {
	v, link := f.w.vms[f.random.IntN(len(f.w.vms))], f.linkFault()
	return fault{v.name + " cut off from the store", func() { v.store.setFault(link) }, func() { v.store.setFault(linkFault{}) }, noVM}
}

func (f *faults) endpointLink() fault {
	e, link := f.w.pick(f.random), f.linkFault()
	return fault{e.ID + " cut off", func() { e.proxy.setFault(link) }, func() { e.proxy.setFault(linkFault{}) }, ""}
}

func (f *faults) endpointFault() fault {
	e := f.w.pick(f.random)
	kinds := []platformtest.EndpointFault{
		{Reject: true}, {Reject: true, RetryAfter: 2}, {Fail: true}, {Truncate: true, Events: streamEvents},
		{Latency: time.Second, Events: streamEvents}, {Gap: 300 * time.Millisecond, Events: streamEvents},
	}
	kind := kinds[f.random.IntN(len(kinds))]
	return fault{e.ID + " in trouble", func() { e.SetFault(kind) }, e.heal, ""}
}

// leave replaces an endpoint: a new one is listed, and the old one leaves.
func (f *faults) leave() fault {
	e := f.w.pick(f.random)
	return fault{e.ID + " leaves", func() {
		if f.w.replace(e) != nil {
			return
		}
		// While the store is in trouble the VMs can't know.
		f.w.checks.leaves(e.ID, time.Now().Add(leavingBound+2*maxFault+maxBackup))
	}, none, noVM}
}

func (f *faults) configure() fault { return fault{"configuration", f.w.configure, none, noVM} }

// process pauses, kills or stops one VM; at most one is disturbed at a time.
func (f *faults) process() fault {
	v := f.w.vms[f.random.IntN(len(f.w.vms))]
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.busy) > 0 {
		return f.configure()
	}
	f.busy[v.name] = true
	free := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.busy, v.name)
	}
	restart := func() {
		<-v.exited
		// A VM that can't be started is seen by the check of the recovery.
		_ = v.start(f.w.bin, filepath.Join(f.w.dir, v.name+".log"))
		free()
	}
	switch f.random.IntN(3) {
	case 0:
		return fault{v.name + " paused", func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT); free() }, v.name}
	case 1:
		return fault{v.name + " killed", func() { v.signal(syscall.SIGKILL) }, restart, v.name}
	}
	return fault{v.name + " stopped", func() {
		f.w.checks.addStop(span{v.name, time.Now(), time.Now().Add(grace)})
		v.signal(syscall.SIGTERM)
	}, restart, noVM}
}
