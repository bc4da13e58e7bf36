package quarantine

import (
	"slices"
	"time"
)

// findRequests returns the requests that are the cause of crashes: those that were suspects
// of enough of them. A request that can't be told from another one, which was a suspect of
// all the same crashes, needs twice as many. A request that was answered before needs one
// more, and only crashes count that have no other suspect: one that comes often is in flight
// wherever endpoints crash. For a repeated request one crash is enough.
func (e *evidence) findRequests(cfg Config, known knowledge) []Finding {
	answered := e.answeredRequests(known)
	var found []Finding
	for _, digest := range e.suspectedIDs(func(s Subject) string { return s.Digest }) {
		subject := Subject{Digest: digest}
		if known.repeated(subject) {
			found = append(found, Finding{Subject: subject})
			continue
		}
		if e.suspected[subject] < cfg.Crashes {
			continue
		}
		crashes, needed := e.crashes, cfg.Crashes
		if answered[digest] {
			crashes, needed = withoutOthers(crashes, answered), needed+1
		}
		twin := hasTwin(crashes, digest, answered)
		if twin {
			needed = max(needed, 2*cfg.Crashes)
		}
		if requestWeight(cfg, crashes, digest, answered[digest]) >= needed*crashWeight {
			found = append(found, Finding{Subject: subject, Uncertain: twin})
		}
	}
	return found
}

// answeredRequests returns the requests among the suspects that were answered before.
func (e *evidence) answeredRequests(known knowledge) map[string]bool {
	answered := make(map[string]bool)
	for _, c := range e.crashes {
		for _, s := range c.Suspects {
			if s.Digest != "" && (s.Answered || known.answered(Subject{Digest: s.Digest})) {
				answered[s.Digest] = true
			}
		}
	}
	return answered
}

// withoutOthers returns the crashes whose suspects were all answered before.
func withoutOthers(crashes []Crash, answered map[string]bool) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Digest != "" && !answered[s.Digest] })
	})
}

// The weights of a crash of which a request is a suspect. If the request ran for less than
// MinRun, the endpoint may have been down already; if its answer had begun, the endpoint may
// break off answers.
const (
	crashWeight      = 2
	shortCrashWeight = 1
)

// requestWeight adds up the crashes that speak against a request. Of those of one moment,
// which may have a common cause, the first one counts, if the request is a suspect of at
// least half of them; a further one only if the request was placed at its endpoint after
// the last one that counts, and ran there for a while.
func requestWeight(cfg Config, crashes []Crash, digest string, answered bool) int {
	sum := 0
	var last time.Time
	for _, moment := range moments(crashes, cfg.Moment) {
		var suspected []Crash
		for i := range moment {
			if moment[i].suspects(Subject{Digest: digest}) {
				suspected = append(suspected, moment[i])
			}
		}
		if 2*len(suspected) < len(moment) {
			continue
		}
		for i, c := range suspected {
			weight := c.weight(cfg, digest, answered)
			if weight == 0 || i > 0 && !c.followed(cfg, digest, last) {
				continue
			}
			sum += weight
			last = c.At
		}
	}
	return sum
}

// weight returns the weight of a crash that a request is a suspect of. For a request that
// was answered before only those count in which it ran for a while, without an answer.
func (c *Crash) weight(cfg Config, digest string, answered bool) int {
	full := slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		return s.Digest == digest && !s.Began && c.At.Sub(s.PlacedAt) >= cfg.MinRun
	})
	switch {
	case full:
		return crashWeight
	case answered:
		return 0
	}
	return shortCrashWeight
}

// followed reports whether a request was placed at the endpoint after the time, and ran
// there for a while before the crash.
func (c *Crash) followed(cfg Config, digest string, after time.Time) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		return s.Digest == digest && !s.PlacedAt.Before(after) && c.At.Sub(s.PlacedAt) >= cfg.MinRun
	})
}

// hasTwin reports whether another request is a suspect of all the crashes of the given one,
// and can't be told from it: either both were answered before, or neither was.
func hasTwin(crashes []Crash, digest string, answered map[string]bool) bool {
	var twins map[string]bool
	for i := range crashes {
		c := &crashes[i]
		if !c.suspects(Subject{Digest: digest}) {
			continue
		}
		here := make(map[string]bool)
		for _, s := range c.Suspects {
			other := s.Digest != "" && s.Digest != digest && answered[s.Digest] == answered[digest]
			if other && (twins == nil || twins[s.Digest]) {
				here[s.Digest] = true
			}
		}
		twins = here
	}
	return len(twins) > 0
}
