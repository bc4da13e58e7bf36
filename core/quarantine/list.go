package quarantine

import (
	"cmp"
	"time"
)

// Verdict states whether prompts with a part are withheld from the endpoints of a
// service.
type Verdict struct {
	Service string
	Part    string
	// Count is the number of verdicts on the part. Of two verdicts, the one with the
	// higher count holds.
	Count int
	// Withheld is set until a prompt with the part is answered.
	Withheld bool
	// Strikes is the number of verdicts since then that have withheld the part.
	Strikes int
	// Until is when the verdict ends, by the time of day.
	Until time.Time
}

// compare orders verdicts on the same part by which of them holds.
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

// partKey identifies a part of prompts of a service.
type partKey struct{ service, part string }

// List holds the verdicts that this VM knows. It is not safe for concurrent use.
type List struct {
	cfg      Config
	verdicts map[partKey]Verdict
}

// NewList returns a List without verdicts.
func NewList(cfg Config) *List {
	return &List{cfg: cfg, verdicts: make(map[partKey]Verdict)}
}

// Withheld returns the part that prompts with these parts are withheld for, and the end
// of its verdict. The part is empty if there is none.
func (l *List) Withheld(now time.Time, service string, parts []string) (string, time.Time) {
	if len(l.verdicts) == 0 {
		return "", time.Time{}
	}
	for _, part := range parts {
		if v, ok := l.verdicts[partKey{service, part}]; ok && v.Withheld && now.Before(v.Until) {
			return part, v.Until
		}
	}
	return "", time.Time{}
}

// repeated reports whether the part was withheld until a short while ago.
func (l *List) repeated(now time.Time, service, part string) bool {
	v, ok := l.verdicts[partKey{service, part}]
	return ok && v.Withheld && !now.Before(v.Until) && now.Sub(v.Until) < l.cfg.Memory
}

// Decide returns the verdict that follows from a finding and adds it. It returns false
// if the part is withheld or cleared already.
func (l *List) Decide(now time.Time, f Finding) (Verdict, bool) {
	l.forget(now)
	known := l.verdicts[partKey{f.Service, f.Part}]
	withheld := known.Withheld && now.Before(known.Until)
	if withheld != f.Sound {
		return Verdict{}, false
	}
	v := Verdict{Service: f.Service, Part: f.Part, Count: known.Count + 1, Until: now}
	if !f.Sound {
		v.Withheld = true
		v.Strikes = known.Strikes + 1
		v.Until = now.Add(l.period(v.Strikes))
	}
	l.add(v)
	return v, true
}

// period returns the time for which a part is withheld with its n-th strike.
func (l *List) period(n int) time.Duration {
	period := l.cfg.Period
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
	known, ok := l.verdicts[partKey{v.Service, v.Part}]
	if v.Service == "" || v.Part == "" || ok && v.compare(known) <= 0 {
		return false
	}
	l.add(v)
	return true
}

// add adds a verdict; above MaxVerdicts, it removes the one that ends first.
func (l *List) add(v Verdict) {
	l.verdicts[partKey{v.Service, v.Part}] = v
	if len(l.verdicts) <= l.cfg.MaxVerdicts {
		return
	}
	first := partKey{v.Service, v.Part}
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

// Active returns the number of parts that are withheld.
func (l *List) Active(now time.Time) int {
	n := 0
	for _, v := range l.verdicts {
		if v.Withheld && now.Before(v.Until) {
			n++
		}
	}
	return n
}
