package upstream

import (
	"context"
	"maps"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/reach"
)

const (
	// silentFor is the time without bytes after which a request in flight on a lost path
	// counts as lost with it.
	silentFor = 250 * time.Millisecond
	// silenceInterval is the time between two looks for silent requests, minSilent the number
	// of endpoints that must be silent together, and maxSilentChecks that of those whose paths
	// are checked.
	silenceInterval = 100 * time.Millisecond
	minSilent       = 2
	maxSilentChecks = 4
	// anyDomain stands for the endpoints of all failure domains.
	anyDomain = ""
	// checkInterval is the time between two checks of the path of one request in flight.
	checkInterval = time.Second
	// maxChecks bounds the paths that are checked because those to other endpoints are lost.
	maxChecks = 32
)

// PathLostError reports that a request in flight was given up as its path is lost.
type PathLostError struct{}

// Error implements error.
func (*PathLostError) Error() string { return "the path to the endpoint is lost" }

// PathLost marks the error as no fault of the endpoint.
func (*PathLostError) PathLost() bool { return true }

// track adds a request in flight on this VM's own path.
func (t *Transport) track(c *conn, req *Request) {
	if t.cfg.Relay == nil || c.relayed != nil || req.Endpoint.ID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[c] = req
}

func (t *Transport) untrack(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, c)
}

// watchSilence checks the paths of requests in flight while all requests at the endpoints of a
// failure domain, or at all endpoints, are silent: their streams would have to fall silent at the
// same time otherwise. It returns with stop.
func (t *Transport) watchSilence() {
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
		}
		for _, req := range t.silentRequests() {
			go t.check(context.Background(), req)
		}
	}
}

// silentRequests returns requests of the paths to check, one of each.
func (t *Transport) silentRequests() []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	sound := make(map[string]bool)
	silent := make(map[string]map[string]*conn)
	for c := range t.inFlight {
		if c.silence() < silentFor {
			sound[c.path.Domain], sound[anyDomain] = true, true
			continue
		}
		for _, domain := range []string{c.path.Domain, anyDomain} {
			if silent[domain] == nil {
				silent[domain] = make(map[string]*conn)
			}
			silent[domain][c.path.Address] = c
		}
	}
	checks := make(map[string]*Request)
	for domain, paths := range silent {
		if sound[domain] || len(paths) < minSilent {
			continue
		}
		for address, c := range paths {
			if len(checks) < maxSilentChecks && time.Since(c.checkedAt) > checkInterval {
				c.checkedAt = time.Now()
				checks[address] = t.inFlight[c]
			}
		}
	}
	return slices.Collect(maps.Values(checks))
}

// pathFailed records that a path is lost. The paths of requests in flight that have been silent
// are checked if they count as lost now.
func (t *Transport) pathFailed(path reach.Path) {
	t.paths.failed(path)
	for _, req := range t.silentOnLostPaths() {
		go t.check(context.Background(), req)
	}
}

// silentOnLostPaths returns one request of each path that must be checked.
func (t *Transport) silentOnLostPaths() []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	checks := make(map[string]*Request)
	for c, req := range t.inFlight {
		due := req.Repeatable && c.silence() >= silentFor && time.Since(c.checkedAt) > checkInterval
		if due && len(checks) < maxChecks && t.paths.lost(c.path) {
			c.checkedAt = time.Now()
			checks[c.path.Address] = req
		}
	}
	return slices.Collect(maps.Values(checks))
}

// giveUpSilent gives up the requests in flight on a path that may be repeated and have been
// silent.
func (t *Transport) giveUpSilent(path reach.Path) {
	for _, c := range t.silentOn(path) {
		c.giveUp()
	}
}

// silentOn returns the connections of requests on the path that may be repeated and have been
// silent.
func (t *Transport) silentOn(path reach.Path) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []*conn
	for c, req := range t.inFlight {
		if c.path == path && req.Repeatable && c.silence() >= silentFor {
			silent = append(silent, c)
		}
	}
	return silent
}
