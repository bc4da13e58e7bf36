package coordination

import (
	"slices"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// Withheld implements gateway.Placer.
func (c *Coordinator) Withheld(service, digest string, parts []string) (quarantine.Subject, time.Duration) {
	return c.local.Withheld(service, digest, parts)
}

// handleFindings decides on the findings on the services that this VM places for. Only a
// service's holder sees the prompts of all VMs, and so whether a part is in prompts that
// are answered.
func (c *Coordinator) handleFindings(findings []quarantine.Finding) {
	for _, f := range findings {
		if c.holder(f.Service).VM == c.vm {
			c.decide(f)
		}
	}
}

// decide adds the verdict that follows from a finding, for all VMs. It returns false if there
// is nothing to add.
func (c *Coordinator) decide(f quarantine.Finding) bool {
	v, evidence, added := c.local.decide(f)
	if added {
		c.logVerdict(v, c.vm, evidence)
		c.announcements.add(v, c.announce)
	}
	return added
}

// announcements are the verdicts that are to be announced to the other VMs. They are announced
// by a goroutine of their own: a verdict is also decided in steps of the dispatcher whose callers
// hold locks, and the membership must not be entered with these. It is safe for concurrent use.
type announcements struct {
	mu sync.Mutex
	// pending has the latest verdict on each subject.
	pending []quarantine.Verdict
	// running is set while a goroutine announces verdicts.
	running bool
}

// add announces a verdict soon, by the function.
func (a *announcements) add(v quarantine.Verdict, announce func(quarantine.Verdict)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = slices.DeleteFunc(a.pending, func(other quarantine.Verdict) bool {
		return other.Service == v.Service && other.Subject == v.Subject
	})
	a.pending = append(a.pending, v)
	if !a.running {
		a.running = true
		go a.run(announce)
	}
}

func (a *announcements) run(announce func(quarantine.Verdict)) {
	for {
		v, ok := a.next()
		if !ok {
			return
		}
		announce(v)
	}
}

// next returns the next verdict; without one, it marks the goroutine as ended and returns false.
func (a *announcements) next() (quarantine.Verdict, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		a.running = false
		return quarantine.Verdict{}, false
	}
	v := a.pending[0]
	a.pending = a.pending[1:]
	return v, true
}

// Release takes back the verdict on a subject, for all VMs, and returns false if there is
// none.
func (c *Coordinator) Release(service string, subject quarantine.Subject) bool {
	return c.decide(quarantine.Finding{Service: service, Subject: subject, Sound: true})
}

// ApplyVerdict applies a verdict that this VM learns from others.
func (c *Coordinator) ApplyVerdict(v quarantine.Verdict) {
	if c.local.applyVerdict(v) {
		c.logVerdict(v, "", nil)
	}
}

// logVerdict logs a verdict; holder is the VM that decided it by the evidence, if that is
// this one.
func (c *Coordinator) logVerdict(v quarantine.Verdict, holder string, evidence []quarantine.Crash) {
	if v.Withheld {
		c.log.Emit(event.SubjectWithheld{
			Service: v.Service, Part: v.Subject.Part, Digest: v.Subject.Digest, Holder: holder, Verdict: v.Count, For: time.Until(v.Until),
			Evidence: quarantine.EvidenceText(time.Now(), evidence),
		})
		return
	}
	c.log.Emit(event.SubjectReleased{Service: v.Service, Part: v.Subject.Part, Digest: v.Subject.Digest, Holder: holder, Verdict: v.Count})
}
