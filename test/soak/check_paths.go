package main

import (
	"net/http"
	"time"
)

const (
	// A VM that is cut off from all endpoints must serve first tries, from stableWindow after
	// the begin of the cut, at least minServedShare as often as the others, unless no more than
	// failuresAllowed and one in failuresPerTry of them fail.
	minServedShare  = 2.0 / 3
	failuresAllowed = 10
	failuresPerTry  = 50
	// comparableShare is the share of first tries that the others must serve: with less, most
	// endpoints are down for all VMs.
	comparableShare = 0.25
)

// cutPeriod is a time in which a VM was cut off from endpoints.
type cutPeriod struct {
	vm       string
	all      bool
	from, to time.Time
}

// pathRecord has the times in which VMs were cut off, and the requests, each of which is a first
// try.
type pathRecord struct {
	cuts  []cutPeriod
	tries []outcome
}

func (p *pathRecord) ended(o outcome) {
	o.body = ""
	p.tries = append(p.tries, o)
}

// pathsCut records that a VM is cut off from endpoints, of which all is set for all.
func (c *checkers) pathsCut(vm string, all bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.cuts = append(c.paths.cuts, cutPeriod{vm: vm, all: all, from: at})
}

// pathsHealed records that a VM is no longer cut off.
func (c *checkers) pathsHealed(vm string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.paths.cuts {
		if p.vm == vm && p.to.IsZero() {
			c.paths.cuts[i].to = at
		}
	}
}

// cutAt reports whether the VM was cut off at the time: from some endpoints, and from all for at
// least stableWindow.
func (p *pathRecord) cutAt(vm string, at time.Time) (some, all bool) {
	for _, c := range p.cuts {
		if c.vm != vm || at.Before(c.from) || !c.to.IsZero() && at.After(c.to) {
			continue
		}
		some = true
		all = all || c.all && at.Sub(c.from) >= stableWindow
	}
	return some, all
}

// checkPaths compares the first tries at VMs that were cut off from all endpoints with those at
// VMs that were not cut off at all, in the same times; the lock is held.
func (c *checkers) checkPaths() {
	var cut, others struct{ served, sent int }
	vms := make(map[string]bool)
	for _, o := range c.paths.tries {
		vms[o.vm] = true
	}
	for _, o := range c.paths.tries {
		some, all := c.paths.cutAt(o.vm, o.sent)
		counted := &others
		switch {
		case c.isDisturbed(o) || !c.anyCutAt(o) || !c.anySoundAt(vms, o):
			continue
		case all:
			counted = &cut
		case some:
			continue
		}
		counted.sent++
		if o.complete && o.status == http.StatusOK {
			counted.served++
		}
	}
	c.checked[firstTries] += cut.sent
	if cut.sent == 0 || others.sent == 0 {
		return
	}
	failed := cut.sent - cut.served
	if failed <= failuresAllowed+cut.sent/failuresPerTry {
		return
	}
	share := float64(others.served) / float64(others.sent)
	if share >= comparableShare && float64(cut.served)/float64(cut.sent) < minServedShare*share {
		c.violate(firstTries, "%d of %d served, %d of %d at the others", cut.served, cut.sent, others.served, others.sent)
	}
}

// anyCutAt reports whether a VM that is not disturbed otherwise had been cut off from all endpoints
// for stableWindow when the request was sent.
func (c *checkers) anyCutAt(o outcome) bool {
	for _, p := range c.paths.cuts {
		other := outcome{vm: p.vm, sent: o.sent, ended: o.ended}
		if _, all := c.paths.cutAt(p.vm, o.sent); all && !c.isDisturbed(other) {
			return true
		}
	}
	return false
}

// anySoundAt reports whether a VM was neither cut off from endpoints nor disturbed when the request
// was in flight, so that there is something to compare with.
func (c *checkers) anySoundAt(vms map[string]bool, o outcome) bool {
	for vm := range vms {
		other := outcome{vm: vm, sent: o.sent, ended: o.ended}
		if some, _ := c.paths.cutAt(vm, o.sent); !some && !c.isDisturbed(other) {
			return true
		}
	}
	return false
}

// isDisturbed reports whether the request's VM was restarted, paused or cut off from the other VMs
// a short while before, or was stopping.
func (c *checkers) isDisturbed(o outcome) bool {
	for _, spans := range [][]span{c.excused, c.stops} {
		for _, s := range spans {
			if s.vm == o.vm && o.ended.After(s.from) && o.sent.Before(s.to.Add(stableWindow)) {
				return true
			}
		}
	}
	return false
}
