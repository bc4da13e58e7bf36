package main

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

const (
	// coldPropagation is the time after which all VMs know that an endpoint is cold, if the store is not
	// in trouble.
	coldPropagation = 1500 * time.Millisecond
	// coldWindow is the span in which the requests to a cold endpoint are counted, and
	// coldOvershoot and coldSlack bound them, as a multiple of what it bears and besides.
	coldWindow    = time.Second
	coldOvershoot = 1.5
	coldSlack     = 5
)

// coldRecord has the times in which endpoints were cold, the runs there, and the times in which
// VMs may not have known of it as the store was in trouble.
type coldRecord struct {
	periods map[string][]span
	runs    map[string][]platformtest.Run
	trouble []span
}

func newColdRecord() coldRecord {
	return coldRecord{periods: make(map[string][]span), runs: make(map[string][]platformtest.Run)}
}

// ran records a run if its endpoint is cold and all VMs know that.
func (c *coldRecord) ran(r platformtest.Run) {
	for _, s := range c.periods[r.Endpoint] {
		if r.At.After(s.from.Add(coldPropagation)) && r.At.Before(s.to) {
			c.runs[r.Endpoint] = append(c.runs[r.Endpoint], r)
			return
		}
	}
}

// becameCold records that an endpoint is cold for a time. One that is cold already is cold for longer.
func (c *checkers) becameCold(endpoint string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	periods := c.cold.periods[endpoint]
	if last := len(periods) - 1; last >= 0 && !from.After(periods[last].to) {
		periods[last].to = to
		return
	}
	c.cold.periods[endpoint] = append(periods, span{"", endpoint, from, to})
}

// storeInTrouble records a time in which VMs may not have read what was written to the store.
func (c *checkers) storeInTrouble(s span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold.trouble = append(c.cold.trouble, s)
}

// checkCold checks the runs at cold endpoints; the lock is held. Those of VMs that were restarted,
// paused or cut off are not counted, nor those on paths that were disturbed: requests that
// wait there arrive at once later.
func (c *checkers) checkCold() {
	const allowed = coldOvershoot*coldPerSecond + coldSlack
	for endpoint, runs := range c.cold.runs {
		var counted []time.Time
		for _, r := range runs {
			if !c.isExcused(r) && !c.isDelayed(r) && !isIn(c.cold.trouble, r.At) {
				counted = append(counted, r.At)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		c.checked[coldSpared] += len(counted)
		for i, first := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(first) < coldWindow {
					n++
				}
			}
			if float64(n) > allowed {
				c.violate(coldSpared, "%s got %d requests in %s, it bears %d a second", endpoint, n, coldWindow, coldPerSecond)
				break
			}
		}
	}
}

// isDelayed reports whether a fault of the VM that sent the request, or of the endpoint, may have
// delayed it.
func (c *checkers) isDelayed(r platformtest.Run) bool {
	return slices.ContainsFunc(c.disturbed, func(s span) bool {
		return (s.vm == vmOf(r.Attempt) || s.endpoint == r.Endpoint) && r.At.After(s.from) && r.At.Before(s.to)
	})
}

func isIn(spans []span, at time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return at.After(s.from) && at.Before(s.to) })
}
