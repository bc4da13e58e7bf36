package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a request that may have crashed its endpoint.
type Suspect struct {
	// Request is the ID of the prompt's last part, which identifies the prompt; empty for
	// a request to a plain service.
	Request string
	// Parts are the IDs of the other parts that were not cleared.
	Parts []string
	// Digest is the digest of the request; empty if it was cleared.
	Digest string
	// Answered is set if the request was answered a while before.
	Answered bool
	// Began is set if its answer had begun.
	Began bool
	// PlacedAt is when the request was placed at the endpoint.
	PlacedAt time.Time
}

// compare orders suspects; those that are equal are the same one, as several VMs tell of it.
func (s Suspect) compare(other Suspect) int {
	began := 0
	if s.Began != other.Began {
		began = 1
		if other.Began {
			began = -1
		}
	}
	return cmp.Or(cmp.Compare(s.Digest, other.Digest), cmp.Compare(s.Request, other.Request), began)
}

// merge adds what another VM tells of the suspect. The clocks of the VMs differ, and the earlier
// time is the more accurate one, as a transfer takes time.
func (s Suspect) merge(other Suspect) Suspect {
	// The lists differ only if a VM of an earlier build has cleared parts.
	if cmp.Or(cmp.Compare(len(s.Parts), len(other.Parts)), slices.Compare(s.Parts, other.Parts)) < 0 {
		s.Parts = other.Parts
	}
	s.Answered = s.Answered || other.Answered
	s.PlacedAt = earlier(s.PlacedAt, other.PlacedAt)
	return s
}

// without returns the suspect without the cleared subjects, and false if nothing is left of it.
func (s Suspect) without(cleared []Subject) (Suspect, bool) {
	isCleared := func(subject Subject) bool {
		_, found := slices.BinarySearchFunc(cleared, subject, Subject.compare)
		return found
	}
	if isCleared(Subject{Digest: s.Digest}) {
		s.Digest = ""
	}
	if slices.ContainsFunc(s.Parts, func(part string) bool { return isCleared(Subject{Part: part}) }) {
		s.Parts = slices.DeleteFunc(slices.Clone(s.Parts), func(part string) bool { return isCleared(Subject{Part: part}) })
	}
	return s, s.Digest != "" || len(s.Parts) > 0
}

// each calls f with the subjects of the suspect.
func (s Suspect) each(f func(Subject)) {
	if s.Digest != "" {
		f(Subject{Digest: s.Digest})
	}
	for _, part := range s.Parts {
		f(Subject{Part: part})
	}
}

// size returns the number of subjects of the suspect.
func (s Suspect) size() int { return 1 + len(s.Parts) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Crash is the crash of an endpoint with the requests that may be the cause. Its slices are
// replaced, never changed, so that a copy of it does not change with the evidence.
type Crash struct {
	Endpoint string
	At       time.Time
	// Suspects are sorted, and differ, once the crash is part of the evidence.
	Suspects []Suspect
	// Cleared are the subjects, sorted, that are no suspects any more, as requests with them
	// were answered after the crash. They keep a late report of the crash from bringing them
	// back.
	Cleared []Subject
}

// merge adds what another VM tells of the crash. The result is the same in whichever order, and
// however often, reports are merged.
func (c *Crash) merge(other Crash) {
	if !other.At.IsZero() {
		c.At = earlier(c.At, other.At)
	}
	c.Suspects = slices.Concat(c.Suspects, other.Suspects)
	c.Cleared = slices.Concat(c.Cleared, other.Cleared)
	c.normalise()
}

// normalise sorts the suspects and what is cleared, removes duplicates, and takes what is cleared
// off the suspects.
func (c *Crash) normalise() {
	c.Cleared = slices.Clone(c.Cleared)
	slices.SortFunc(c.Cleared, Subject.compare)
	c.Cleared = slices.Compact(c.Cleared)
	suspects := make([]Suspect, 0, len(c.Suspects))
	for _, s := range c.Suspects {
		if s, left := s.without(c.Cleared); left {
			suspects = append(suspects, s)
		}
	}
	slices.SortStableFunc(suspects, Suspect.compare)
	c.Suspects = suspects[:0]
	for _, s := range suspects {
		if last := len(c.Suspects) - 1; last >= 0 && c.Suspects[last].compare(s) == 0 {
			c.Suspects[last] = c.Suspects[last].merge(s)
			continue
		}
		c.Suspects = append(c.Suspects, s)
	}
}

// clear removes a request and parts of prompts from the suspects.
func (c *Crash) clear(digest string, parts []string) {
	cleared := slices.DeleteFunc(c.subjects(), func(s Subject) bool {
		if s.Digest != "" {
			return s.Digest != digest
		}
		return !slices.Contains(parts, s.Part)
	})
	if len(cleared) > 0 {
		c.merge(Crash{Cleared: cleared})
	}
}

// limit bounds the suspects and what is cleared, each to the first ones in their order, which are
// the same at all VMs that know the same reports. As many crashes as a finding needs fit into the
// bound on the subjects of a service.
func (c *Crash) limit(cfg Config) {
	c.Cleared = slices.Clip(c.Cleared[:min(len(c.Cleared), cfg.MaxSuspects)])
	n, subjects := 0, 1+len(c.Cleared)
	for n < min(len(c.Suspects), cfg.MaxSuspects) {
		subjects += c.Suspects[n].size()
		if subjects > cfg.MaxSubjects/cfg.Crashes {
			break
		}
		n++
	}
	c.Suspects = slices.Clip(c.Suspects[:n])
}

// size returns the number of subjects that the crash holds, and one for the crash.
func (c *Crash) size() int {
	n := 1 + len(c.Cleared)
	for _, s := range c.Suspects {
		n += s.size()
	}
	return n
}

// subjects returns the suspected subjects, each once.
func (c *Crash) subjects() []Subject {
	var subjects []Subject
	for _, s := range c.Suspects {
		s.each(func(subject Subject) { subjects = append(subjects, subject) })
	}
	slices.SortFunc(subjects, Subject.compare)
	return slices.Compact(subjects)
}

// explain makes the parts of requests the only suspects of a crash, if one of the requests is a
// suspect of it. It reports whether no suspect is left: a request may have no parts.
func (c *Crash) explain(requests ...Subject) bool {
	if !slices.ContainsFunc(requests, c.suspects) {
		return false
	}
	c.Suspects = c.partsOf(requests...)
	return len(c.Suspects) == 0
}

// partsOf returns the suspects of a crash that are one of the requests and have parts, without their
// digests.
func (c *Crash) partsOf(requests ...Subject) []Suspect {
	var suspects []Suspect
	for _, s := range c.Suspects {
		known := slices.ContainsFunc(requests, func(r Subject) bool { return r.Of(s.Digest, s.Parts) })
		if known && len(s.Parts) > 0 {
			s.Digest = ""
			suspects = append(suspects, s)
		}
	}
	return suspects
}

func (c *Crash) suspects(subject Subject) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return subject.Of(s.Digest, s.Parts) })
}
