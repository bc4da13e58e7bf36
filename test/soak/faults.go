package main

import (
	"context"
	"fmt"
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
	// leavingBound is the time after which an endpoint that leaves, or whose failure
	// domain is evacuated, gets no more requests: the reads of the store by the VMs, and
	// some of their time-outs.
	leavingBound = 4 * time.Second
	// storeTrouble is how much longer that takes while the store is in trouble, when the
	// VMs can't know.
	storeTrouble = 2*maxFault + maxBackup
	// maxFault is the longest time of one fault.
	maxFault = 3 * time.Second
	// maxBackup is the greatest age of the copy from which the store is restored, and
	// rewriteDelay the time after which its rows are written again.
	maxBackup    = 3 * time.Second
	rewriteDelay = time.Second
	// crashingTime is the time for which a request that crashes endpoints comes again.
	crashingTime = 7 * time.Second
	// spreadTime is the time that a change has to reach the VMs before the store loses it.
	spreadTime = 500 * time.Millisecond
)

// faultKind is the part of the deployment that a fault disturbs.
type faultKind string

const (
	faultStore         faultKind = "store"
	faultStoreLink     faultKind = "link to the store"
	faultPeerLink      faultKind = "link between VMs"
	faultEndpoint      faultKind = "endpoint"
	faultEndpointLink  faultKind = "link to an endpoint"
	faultLeave         faultKind = "endpoint leaves"
	faultEvacuation    faultKind = "evacuation"
	faultColdDomain    faultKind = "evacuation of cold endpoints"
	faultConfiguration faultKind = "configuration"
	faultProcess       faultKind = "process"
	faultLimit         faultKind = "limit of an endpoint"
	faultCrash         faultKind = "request that crashes endpoints"
	faultPaths         faultKind = "paths of a VM to endpoints"
)

// fault is one disturbance: it begins, lasts, and ends.
type fault struct {
	kind  faultKind
	name  string
	begin func()
	end   func()
	// vm is the VM whose requests it may cut off, and endpoint the endpoint; empty for all.
	vm       string
	endpoint string
	// least is added to its length.
	least time.Duration
}

// occurrence is a fault that has begun, with its times since the start of the run.
type occurrence struct {
	kind     faultKind
	name     string
	from, to time.Duration
}

func (o occurrence) String() string { return fmt.Sprintf("%.1f s %s", o.from.Seconds(), o.name) }

// noVM is the VM of a fault that may cut off no request.
const noVM = "none"

// faults draws disturbances from a seed and lets them overlap.
type faults struct {
	w      *world
	random *rand.Rand
	log    func(kind faultKind, name string, length time.Duration)
	wg     sync.WaitGroup
	// busy are the VMs whose processes are disturbed.
	mu   sync.Mutex
	busy map[string]bool
}

// run begins a fault every 0.2 to 0.8 s until the context ends, and waits for their ends.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		next := f.draw()
		length := next.least + 200*time.Millisecond + f.upTo(maxFault)
		f.log(next.kind, next.name, length)
		f.w.checks.addDisturbance(span{next.vm, next.endpoint, time.Now(), time.Now().Add(length + settleTime)})
		if next.kind == faultStore || next.kind == faultStoreLink {
			f.w.checks.storeInTrouble(span{"", "", time.Now(), time.Now().Add(length + settleTime + rewriteDelay)})
		}
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
	draws := []func() fault{
		f.store, f.store, f.restore, f.restore, f.storeLink, f.storeLinks, f.peerLink, f.endpointFault, f.endpointFault, f.breakOff, f.endpointLink,
		f.leave, f.evacuate, f.evacuateCold, f.configure, f.configure, f.process, f.process, f.limit, f.crash, f.paths, f.paths, f.paths,
	}
	return draws[f.random.IntN(len(draws))]()
}

func none() {}

func (f *faults) store() fault {
	s := f.w.store
	heal := func() { s.SetFault(platformtest.StoreFault{}) }
	switch f.random.IntN(5) {
	case 0:
		return fault{faultStore, "store silent", func() { s.SetFault(platformtest.StoreFault{Silent: true}) }, heal, noVM, "", 0}
	case 1:
		return fault{faultStore, "store resets", func() { s.SetFault(platformtest.StoreFault{Reset: true}) }, heal, noVM, "", 0}
	case 2:
		return fault{faultStore, "store busy", func() { s.SetFault(platformtest.StoreFault{Busy: true}) }, heal, noVM, "", 0}
	case 3:
		return fault{faultStore, "store slow, loses answers", func() {
			s.SetFault(platformtest.StoreFault{Delay: 150 * time.Millisecond, LoseWrites: 0.3})
		}, heal, noVM, "", 0}
	}
	return fault{faultStore, "store forgets its history", s.Compact, none, noVM, "", 0}
}

// restore takes the store away soon after a change of the configuration; it comes back
// from a copy from before that change, and what it lacks is written again a while later.
func (f *faults) restore() fault {
	s, age := f.w.store, spreadTime+f.upTo(maxBackup-spreadTime)
	return fault{faultStore, "store away, restored from a copy", func() {
		f.w.configure()
		time.Sleep(spreadTime)
		s.SetFault(platformtest.StoreFault{Reset: true})
		s.Restore(age)
	}, func() {
		s.SetFault(platformtest.StoreFault{})
		time.Sleep(rewriteDelay)
		f.w.rewrite()
	}, noVM, "", 0}
}

func (f *faults) linkFault() linkFault {
	return []linkFault{{Delay: 20 * time.Millisecond}, {Silent: true}, {OneWay: true}, {Reset: true}}[f.random.IntN(4)]
}

func (f *faults) storeLink() fault {
	v, link := f.w.vms[f.random.IntN(len(f.w.vms))], f.linkFault()
	return fault{faultStoreLink, v.name + " cut off from the store", func() { v.store.setFault(link) }, func() { v.store.setFault(linkFault{}) }, noVM, "", 0}
}

// storeLinks cuts all VMs but one off from the store, those that follow it for the others among
// them.
func (f *faults) storeLinks() fault {
	spared, link := f.random.IntN(len(f.w.vms)), f.linkFault()
	set := func(link linkFault) {
		for i, v := range f.w.vms {
			if i != spared {
				v.store.setFault(link)
			}
		}
	}
	name := fmt.Sprintf("all but %s cut off from the store", f.w.vms[spared].name)
	return fault{faultStoreLink, name, func() { set(link) }, func() { set(linkFault{}) }, noVM, "", 0}
}

func (f *faults) peerLink() fault {
	v, link := f.w.vms[f.random.IntN(len(f.w.vms))], f.linkFault()
	f.w.checks.excuse(span{v.name, "", time.Now(), time.Now().Add(maxFault + settleTime)})
	return fault{faultPeerLink, "others cut off from " + v.name, func() { v.peers.setFault(link) }, func() { v.peers.setFault(linkFault{}) }, noVM, "", 0}
}

func (f *faults) endpointLink() fault {
	e, link := f.w.pick(f.random), f.linkFault()
	return fault{faultEndpointLink, e.ID + " cut off", func() { e.proxy.setFault(link) }, func() { e.proxy.setFault(linkFault{}) }, "", e.ID, 0}
}

func (f *faults) endpointFault() fault {
	e := f.w.pick(f.random)
	kinds := []platformtest.EndpointFault{
		{Reject: true}, {Reject: true, RetryAfter: 2}, {Fail: true}, {Drop: true},
		{Latency: time.Second, Events: streamEvents}, {Gap: 300 * time.Millisecond, Events: streamEvents},
		{Unframed: true, Events: streamEvents},
	}
	return f.inTrouble(e, kinds[f.random.IntN(len(kinds))])
}

// breakOff breaks off the responses of an endpoint, whose length and chunks they may lack.
func (f *faults) breakOff() fault {
	unframed := f.random.IntN(2) == 0
	return f.inTrouble(f.w.pick(f.random), platformtest.EndpointFault{Truncate: true, Unframed: unframed, Events: streamEvents})
}

func (f *faults) inTrouble(e *endpoint, kind platformtest.EndpointFault) fault {
	return fault{faultEndpoint, fmt.Sprintf("%s in trouble: %+v", e.ID, kind), func() { e.SetFault(kind) }, e.heal, "", e.ID, 0}
}

// paths cuts a VM off from all endpoints, from one of them or from those of a failure domain.
func (f *faults) paths() fault {
	v := f.w.vms[f.random.IntN(len(f.w.vms))]
	states := map[string]platformtest.LinkState{
		"silent": platformtest.LinkSilent, "one way": platformtest.LinkOneWay, "reset": platformtest.LinkReset, "refusing": platformtest.LinkRefusing,
	}
	how := []string{"silent", "one way", "reset", "refusing"}[f.random.IntN(len(states))]
	from, addresses := "all endpoints", []string(nil)
	switch f.random.IntN(4) {
	case 0:
		from, addresses = "one endpoint", []string{f.w.pick(f.random).proxy.address()}
	case 1:
		from, addresses = "a failure domain", f.w.addressesIn(evacuableDomain)
	}
	least := time.Duration(0)
	if len(addresses) == 0 {
		least = stableWindow
	}
	return fault{faultPaths, fmt.Sprintf("%s cut off from %s, %s", v.name, from, how), func() {
		f.failed(v.links.set(states[how], addresses))
		f.w.checks.pathsCut(v.name, len(addresses) == 0, time.Now())
	}, func() {
		f.w.checks.pathsHealed(v.name, time.Now())
		f.failed(v.links.heal())
	}, v.name, "", least}
}

// failed records that a fault could not be brought about.
func (f *faults) failed(err error) {
	if err != nil {
		f.w.checks.addViolation("fault: " + err.Error())
	}
}

// leave replaces an endpoint: a new one is listed, and the old one leaves.
func (f *faults) leave() fault {
	e := f.w.pick(f.random)
	return fault{faultLeave, e.ID + " leaves", func() {
		if f.w.replace(e) != nil {
			return
		}
		f.w.checks.leaves(e.ID, time.Now())
	}, none, noVM, "", 0}
}

// evacuate evacuates a failure domain, until the next such fault or the end of the run.
func (f *faults) evacuate() fault {
	return fault{faultEvacuation, "evacuation begins or ends", f.w.evacuate, none, noVM, "", 0}
}

// evacuateCold evacuates a failure domain whose endpoints have just become cold, and takes that back,
// with endpoints that are cold again.
func (f *faults) evacuateCold() fault {
	return fault{
		faultColdDomain, "evacuation of cold endpoints",
		func() { f.w.evacuateCold(true) }, func() { f.w.evacuateCold(false) }, noVM, "", 0,
	}
}

// limit makes an endpoint name a limit in its responses, or takes that back. The limit stays
// until the next such fault of the endpoint, or the end of the run.
func (f *faults) limit() fault {
	e, perSecond := f.w.pick(f.random), []float64{0.5, 2, 8}[f.random.IntN(3)]
	return fault{faultLimit, fmt.Sprintf("%s names a limit of %g, or none any more", e.ID, perSecond), func() {
		if e.limited {
			perSecond = 0
		}
		e.limited = !e.limited
		e.SetLimit(perSecond)
	}, none, noVM, "", 0}
}

// crash lets one request come again and again that crashes the endpoints which run it.
func (f *faults) crash() fault {
	f.w.crashing++
	path := fmt.Sprintf("/safe%s%d", platformtest.CrashPath, f.w.crashing)
	return fault{faultCrash, path + " crashes endpoints", func() {
		f.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashingTime)
			defer cancel()
			f.w.sendCrashing(ctx, path)
		})
	}, none, noVM, "", 0}
}

func (f *faults) configure() fault {
	return fault{faultConfiguration, "configuration", f.w.configure, none, noVM, "", 0}
}

// process pauses, kills or stops one VM; at most one is disturbed at a time.
func (f *faults) process() fault {
	v := f.w.vms[f.random.IntN(len(f.w.vms))]
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.busy) > 0 {
		return f.configure()
	}
	f.busy[v.name] = true
	f.w.checks.disturbProcess(v.name)
	f.w.checks.excuse(span{v.name, "", time.Now(), time.Now().Add(maxFault + settleTime)})
	free := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.busy, v.name)
		f.w.checks.processGoesOn(v.name, time.Now())
	}
	restart := func() {
		<-v.exit()
		// A VM that can't be started is seen by the check of the recovery.
		_ = v.start(f.w.bin, filepath.Join(f.w.dir, v.name+".log"))
		free()
	}
	switch f.random.IntN(4) {
	case 0:
		return fault{faultProcess, v.name + " paused", func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT); free() }, v.name, "", 0}
	case 1:
		return fault{faultProcess, v.name + " killed", func() { v.signal(syscall.SIGKILL) }, restart, v.name, "", 0}
	}
	return fault{faultProcess, v.name + " stopped", func() {
		f.w.checks.addStop(span{v.name, "", time.Now(), time.Now().Add(grace)})
		f.wg.Go(func() { f.w.stop(v) })
	}, restart, noVM, "", 0}
}
