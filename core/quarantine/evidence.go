package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Subject is what crashes endpoints: a part of prompts, or one request.
type Subject struct {
	// Part is the ID of the part; empty for a request.
	Part string
	// Digest is the digest of the request; empty for a part.
	Digest string
}

// None reports whether the subject is empty.
func (s Subject) None() bool { return s == Subject{} }

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Part, other.Part), cmp.Compare(s.Digest, other.Digest))
}

// Of reports whether a request with the digest and the parts has the subject.
func (s Subject) Of(digest string, parts []string) bool {
	if s.Digest != "" {
		return s.Digest == digest
	}
	return s.Part != "" && slices.Contains(parts, s.Part)
}

// Finding states that a subject crashes the endpoints of a service.
type Finding struct {
	Service string
	Subject Subject
	// Sound is set if it states the contrary.
	Sound bool
	// Uncertain is set if the cause may as well be another request.
	Uncertain bool
}

// evidence holds the crashes of the endpoints of one service, in the order of their
// times.
type evidence struct {
	crashes []Crash
	// suspected counts the occurrences of each subject in the crashes.
	suspected map[Subject]int
}

// Crashes returns the crashes of a service's endpoints that are not explained. They don't change
// with the evidence.
func (t *Tracker) Crashes(service string) []Crash {
	if e := t.evidence[service]; e != nil {
		return slices.Clone(e.crashes)
	}
	return nil
}

// Evidence returns the crashes of a service's endpoints of which the subject is a suspect.
func (t *Tracker) Evidence(service string, subject Subject) []Crash {
	return slices.DeleteFunc(t.Crashes(service), func(c Crash) bool { return !c.suspects(subject) })
}

// EvidenceText lists crashes, by endpoint and the time since then.
func EvidenceText(now time.Time, crashes []Crash) string {
	list := make([]string, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, c.Endpoint+" "+now.Sub(c.At).Round(time.Millisecond).String())
	}
	return strings.Join(list, ", ")
}

// AddCrash adds a crash to the evidence on a service, or merges it with what is known of the same
// crash from the report of another VM. It returns false for a crash that was known, is older than
// the window, or has its cause among what is withheld and tells nothing of the parts of a prompt.
func (t *Tracker) AddCrash(now time.Time, service string, c Crash) bool {
	e := t.evidence[service]
	if e == nil {
		e = &evidence{suspected: make(map[Subject]int)}
		t.evidence[service] = e
	}
	oldest := now.Add(-t.cfg.Window)
	if c.At.Before(oldest) || t.explained(now, service, &c) {
		e.forget(oldest, t.cfg)
		return false
	}
	c.merge(Crash{Cleared: t.answeredSince(service, c)})
	known := e.merge(c, t.cfg)
	e.forget(oldest, t.cfg)
	return !known
}

// answeredSince returns the suspected subjects of a crash that were answered after it.
func (t *Tracker) answeredSince(service string, c Crash) []Subject {
	return slices.DeleteFunc(c.subjects(), func(subject Subject) bool {
		at, answered := t.answered.Peek(subjectKey{service, subject})
		return !answered || !at.After(c.At)
	})
}

// explained reports whether what is withheld explains the crash, so that it tells nothing
// further. Of a crash that withheld requests explain, their parts remain under suspicion.
func (t *Tracker) explained(now time.Time, service string, c *Crash) bool {
	var requests []Subject
	for _, s := range c.Suspects {
		subject, _ := t.list.Withheld(now, service, s.Digest, s.Parts)
		if subject.Part != "" {
			return true
		}
		if !subject.None() {
			requests = append(requests, subject)
		}
	}
	return c.explain(requests...)
}

// sameCrash is the time within which crashes of one endpoint, from reports of several
// VMs, are the same one. An endpoint takes longer to be back.
const sameCrash = time.Second

// merge adds a crash, which is normalised, and reports whether it was known already. If it was, what
// both tell of it counts.
func (e *evidence) merge(c Crash, cfg Config) bool {
	i := slices.IndexFunc(e.crashes, func(known Crash) bool {
		return known.Endpoint == c.Endpoint && known.At.Sub(c.At).Abs() < sameCrash
	})
	known := i >= 0
	if known {
		e.count(e.crashes[i], -1)
		e.crashes[i].merge(c)
	} else {
		i = len(e.crashes)
		e.crashes = append(e.crashes, c)
	}
	e.crashes[i].limit(cfg)
	e.count(e.crashes[i], 1)
	slices.SortStableFunc(e.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return known
}

// forget removes the crashes before the time, and the oldest ones above the limits.
func (e *evidence) forget(before time.Time, cfg Config) {
	subjects, keep := 0, 0
	for _, c := range slices.Backward(e.crashes) {
		subjects += c.size()
		if c.At.Before(before) || keep == cfg.MaxCrashes || subjects > cfg.MaxSubjects {
			break
		}
		keep++
	}
	forgotten := len(e.crashes) - keep
	for _, c := range e.crashes[:forgotten] {
		e.count(c, -1)
	}
	e.crashes = slices.Delete(e.crashes, 0, forgotten)
}

// count adds the occurrences of each subject in a crash, times n.
func (e *evidence) count(c Crash, n int) {
	add := func(subject Subject) {
		if e.suspected[subject] += n; e.suspected[subject] == 0 {
			delete(e.suspected, subject)
		}
	}
	for _, s := range c.Suspects {
		s.each(add)
	}
}

func (e *evidence) recount() {
	clear(e.suspected)
	for _, c := range e.crashes {
		e.count(c, 1)
	}
}

// clear removes a request and parts of prompts from all suspects.
func (e *evidence) clear(digest string, parts []string) {
	known := func(part string) bool { return e.suspected[Subject{Part: part}] > 0 }
	if e.suspected[Subject{Digest: digest}] == 0 && !slices.ContainsFunc(parts, known) {
		return
	}
	for i := range e.crashes {
		e.crashes[i].clear(digest, parts)
	}
	e.recount()
}

// explain takes the crashes that a subject is the cause of out of the evidence on others. Those by a
// request remain as evidence on its parts: the request may crash endpoints by one of them.
func (e *evidence) explain(subject Subject) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return subject.Part != "" && c.suspects(subject) })
	if subject.Digest != "" {
		e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return c.suspects(subject) && len(c.partsOf(subject)) == 0 })
		for i := range e.crashes {
			e.crashes[i].explain(subject)
		}
	}
	e.recount()
}

// charge is the evidence against one part.
type charge struct {
	part string
	// moments is the number of separate moments of its crashes, and requests the number
	// of different requests.
	moments  int
	requests int
	// position is the index of the part in the prompt of the latest suspect. Fewer
	// prompts share a part the later it comes.
	position int
}

// compare orders charges by their weight.
func (c charge) compare(other charge) int {
	return cmp.Or(cmp.Compare(c.moments, other.moments), cmp.Compare(c.requests, other.requests))
}

// knowledge is what is known of a subject apart from the evidence.
type knowledge struct {
	// repeated reports whether the subject was withheld until a short while ago.
	repeated func(Subject) bool
	// answered reports whether a request with the subject was answered before.
	answered func(Subject) bool
}

// find returns the part that is the cause of crashes: the one with the heaviest charge,
// if that is enough. Of parts that stay equal until twice as many moments, it is the one
// that comes last in its prompts. For a repeated part, one crash is enough.
func (e *evidence) find(cfg Config, known knowledge) (string, bool) {
	var heaviest charge
	tied := false
	for _, part := range e.suspectedIDs(func(s Subject) string { return s.Part }) {
		if known.repeated(Subject{Part: part}) {
			return part, true
		}
		if e.suspected[Subject{Part: part}] < cfg.Crashes {
			continue
		}
		c := e.charge(part, cfg.Moment)
		order := c.compare(heaviest)
		if order == 0 {
			tied = true
			order = cmp.Compare(c.position, heaviest.position)
		} else if order > 0 {
			tied = false
		}
		if order > 0 {
			heaviest = c
		}
	}
	if heaviest.part == "" || tied && heaviest.moments < 2*cfg.Crashes {
		return "", false
	}
	return heaviest.part, heaviest.enough(cfg, known.answered(Subject{Part: heaviest.part}))
}

// suspectedIDs returns the IDs, sorted, that a function returns for what is suspected: those of
// the parts or the digests of the requests. It returns none for the others.
func (e *evidence) suspectedIDs(id func(Subject) string) []string {
	var ids []string
	for s := range e.suspected {
		if id(s) != "" {
			ids = append(ids, id(s))
		}
	}
	slices.Sort(ids)
	return ids
}

// enough reports whether the charge is enough for a finding, if it is the heaviest. A
// part of prompts that were answered before needs one crash and one request more.
func (c charge) enough(cfg Config, answered bool) bool {
	crashes, requests := cfg.Crashes, cfg.Requests
	if answered {
		crashes, requests = crashes+1, requests+1
	}
	return c.moments >= crashes && c.requests >= requests
}

// charge returns the evidence against a part. A moment counts if the part is suspected
// in at least half of its crashes: endpoints that crash together have a common cause,
// which is not in one prompt.
func (e *evidence) charge(part string, moment time.Duration) charge {
	c := charge{part: part}
	requests := make(map[string]bool)
	for _, crashes := range moments(e.crashes, moment) {
		suspected := 0
		for i := range crashes {
			if crashes[i].charge(&c, requests) {
				suspected++
			}
		}
		if suspected > 0 && 2*suspected >= len(crashes) {
			c.moments++
		}
	}
	c.requests = len(requests)
	return c
}

// charge adds the requests of the suspects with the part to requests, and reports
// whether there are any.
func (c *Crash) charge(to *charge, requests map[string]bool) bool {
	suspected := false
	for _, s := range c.Suspects {
		if position := slices.Index(s.Parts, to.part); position >= 0 {
			suspected = true
			requests[s.Request] = true
			to.position = position
		}
	}
	return suspected
}

// moments returns crashes by the moments at which they happened, each of which lasts for the
// given time.
func moments(crashes []Crash, length time.Duration) [][]Crash {
	var list [][]Crash
	for i := 0; i < len(crashes); {
		end := crashes[i].At.Add(length)
		n := i + 1
		for n < len(crashes) && crashes[n].At.Before(end) {
			n++
		}
		list = append(list, crashes[i:n])
		i = n
	}
	return list
}
