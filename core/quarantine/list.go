package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict states whether requests with a subject are withheld from the endpoints of a
// service.
type Verdict struct {
	Service string
	Subject Subject
	// Count is the number of verdicts on the subject. Of two verdicts, the one with the
	// higher count holds.
	Count int
	// Withheld is set until a request with the subject is answered.
	Withheld bool
	// Strikes is the number of verdicts since then that have withheld the subject.
	Strikes int
	// Until is when the verdict ends, by the time of day.
	Until time.Time
}

// compare orders verdicts on the same subject by which of them holds.
func (v Verdict) compare(other Verdict) int {
	if order := cmp.Compare(v.Count, other.Count); order != 0 {
		return order
	}
	if v.Withheld != other.Withheld {
		if v.Withheld {
			return 1
		}
		return -1
	}
	return v.Until.Compare(other.Until)
}

// withholds reports whether requests with the subject are withheld now.
func (v Verdict) withholds(now time.Time) bool { return v.Withheld && now.Before(v.Until) }

// subjectKey identifies a subject at a service.
type subjectKey struct {
	service string
	subject Subject
}

// List holds the verdicts that this VM knows. It is not safe for concurrent use.
type List struct {
	cfg      Config
	verdicts map[subjectKey]Verdict
}

// NewList returns a List without verdicts.
func NewList(cfg Config) *List {
	return &List{cfg: cfg, verdicts: make(map[subjectKey]Verdict)}
}

// Withheld returns the subject that a request with the digest and the parts is withheld
// for, and the end of its verdict. The subject is empty if there is none.
func (l *List) Withheld(now time.Time, service, digest string, parts []string) (Subject, time.Time) {
	if len(l.verdicts) == 0 {
		return Subject{}, time.Time{}
	}
	if until, withheld := l.withheldUntil(now, service, Subject{Digest: digest}); withheld {
		return Subject{Digest: digest}, until
	}
	for _, part := range parts {
		if until, withheld := l.withheldUntil(now, service, Subject{Part: part}); withheld {
			return Subject{Part: part}, until
		}
	}
	return Subject{}, time.Time{}
}

func (l *List) withheldUntil(now time.Time, service string, subject Subject) (time.Time, bool) {
	v := l.verdicts[subjectKey{service, subject}]
	return v.Until, v.withholds(now)
}

// anyRequest reports whether a request to the service is withheld.
func (l *List) anyRequest(now time.Time, service string) bool {
	for key, v := range l.verdicts {
		if key.service == service && key.subject.Digest != "" && v.withholds(now) {
			return true
		}
	}
	return false
}

// repeated reports whether the subject was withheld until a short while ago.
func (l *List) repeated(now time.Time, service string, subject Subject) bool {
	v, ok := l.verdicts[subjectKey{service, subject}]
	return ok && v.Withheld && !now.Before(v.Until) && now.Sub(v.Until) < l.cfg.Memory
}

// Decide returns the verdict that follows from a finding and adds it. It returns false
// if the subject is withheld or cleared already.
func (l *List) Decide(now time.Time, f Finding) (Verdict, bool) {
	l.forget(now)
	known := l.verdicts[subjectKey{f.Service, f.Subject}]
	if known.withholds(now) != f.Sound {
		return Verdict{}, false
	}
	v := Verdict{Service: f.Service, Subject: f.Subject, Count: known.Count + 1, Until: now}
	if !f.Sound {
		v.Withheld = true
		v.Strikes = known.Strikes + 1
		v.Until = now.Add(l.period(v.Strikes, f.Uncertain))
	}
	l.add(v)
	return v, true
}

// period returns the time for which a subject is withheld with its n-th strike.
func (l *List) period(n int, uncertain bool) time.Duration {
	period := l.cfg.Period
	if uncertain {
		period = l.cfg.UncertainPeriod
	}
	for i := 1; i < n && period < l.cfg.MaxPeriod; i++ {
		period *= 2
	}
	return min(period, l.cfg.MaxPeriod)
}

// Apply adds a verdict of another VM. It reports whether it replaces the known one. Its
// end is at most MaxPeriod from now, whatever the other VM's time of day.
func (l *List) Apply(now time.Time, v Verdict) bool {
	l.forget(now)
	if latest := now.Add(l.cfg.MaxPeriod); v.Until.After(latest) {
		v.Until = latest
	}
	known, ok := l.verdicts[subjectKey{v.Service, v.Subject}]
	if v.Service == "" || v.Subject.None() || ok && v.compare(known) <= 0 {
		return false
	}
	l.add(v)
	return true
}

// add adds a verdict; above MaxVerdicts, it removes the one that ends first.
func (l *List) add(v Verdict) {
	l.verdicts[subjectKey{v.Service, v.Subject}] = v
	if len(l.verdicts) <= l.cfg.MaxVerdicts {
		return
	}
	first := subjectKey{v.Service, v.Subject}
	for key, other := range l.verdicts {
		if other.Until.Before(l.verdicts[first].Until) {
			first = key
		}
	}
	delete(l.verdicts, first)
}

// forget removes the verdicts that ended longer ago than Memory.
func (l *List) forget(now time.Time) {
	for key, v := range l.verdicts {
		if now.Sub(v.Until) > l.cfg.Memory {
			delete(l.verdicts, key)
		}
	}
}

// Verdicts returns the verdicts that withhold something, in the order of their ends.
func (l *List) Verdicts(now time.Time) []Verdict {
	var list []Verdict
	for _, v := range l.verdicts {
		if v.withholds(now) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Subject.Part, b.Subject.Part), cmp.Compare(a.Subject.Digest, b.Subject.Digest))
	})
	return list
}

// Active returns the number of subjects that are withheld.
func (l *List) Active(now time.Time) int {
	n := 0
	for _, v := range l.verdicts {
		if v.withholds(now) {
			n++
		}
	}
	return n
}
