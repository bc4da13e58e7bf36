package coordination

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// Withheld returns the subject for which a request with the digest and the parts is refused,
// and for how long it is; the subject is empty if it is not.
func (l *LocalDispatcher) Withheld(service, digest string, parts []string) (quarantine.Subject, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	subject, until := l.verdicts.Withheld(now, service, digest, parts)
	return subject, until.Sub(now)
}

// suspicious reports whether answered requests to the service may be evidence.
func (l *LocalDispatcher) suspicious(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Suspicious(time.Now(), service)
}

// answeredBefore reports whether a request to the service was answered.
func (l *LocalDispatcher) answeredBefore(service, digest string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.AnsweredBefore(service, digest)
}

// suspiciousJob is like suspicious, for the service of a placed job.
func (l *LocalDispatcher) suspiciousJob(key dispatch.JobKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, placed := l.dispatcher.PlacedJob(key)
	return placed && l.tracker.Suspicious(time.Now(), job.Service)
}

// decide adds the verdict that follows from a finding, and returns it with the crashes that
// are the evidence. It returns false if there is nothing to add.
func (l *LocalDispatcher) decide(f quarantine.Finding) (quarantine.Verdict, []quarantine.Crash, bool) {
	l.mu.Lock()
	v, added := l.verdicts.Decide(time.Now(), f)
	evidence := l.tracker.Evidence(f.Service, f.Subject)
	l.mu.Unlock()
	if added {
		l.enforce(v)
	}
	return v, evidence, added
}

// applyVerdict adds the verdict of another VM and reports whether it is news.
func (l *LocalDispatcher) applyVerdict(v quarantine.Verdict) bool {
	l.mu.Lock()
	news := l.verdicts.Apply(time.Now(), v)
	l.mu.Unlock()
	if news {
		l.enforce(v)
	}
	return news
}

// enforce refuses the queued jobs that a verdict on a part withholds. One on a request is
// enforced by the VMs that have it, before they send it.
func (l *LocalDispatcher) enforce(v quarantine.Verdict) {
	if !v.Withheld {
		return
	}
	l.mu.Lock()
	l.tracker.Explain(v.Service, v.Subject)
	refused := l.dispatcher.Refuse(func(j *dispatch.Job) bool {
		return j.Service == v.Service && v.Subject.Of("", j.Parts)
	}, dispatch.ReasonWithheld, time.Until(v.Until))
	l.mu.Unlock()
	if len(refused) > 0 {
		l.onDecisions(refused)
	}
}

// crashes returns the crashes of the service's endpoints that this VM has seen.
func (l *LocalDispatcher) crashes(service string) []quarantine.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Crashes(service)
}

// addCrashes adds the crashes that another VM has seen, whose ages are relative to base.
func (l *LocalDispatcher) addCrashes(service string, crashes []quarantine.CrashMessage, base time.Time) {
	if len(crashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, m := range crashes {
		l.tracker.AddCrash(now, service, m.Crash(base))
	}
}

// Verdicts returns the verdicts that withhold something.
func (l *LocalDispatcher) Verdicts() []quarantine.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdicts.Verdicts(time.Now())
}

// Withholding returns the number of parts and requests that are withheld.
func (l *LocalDispatcher) Withholding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdicts.Active(time.Now())
}

// track records a placed job for the evidence on the parts of its prompt; the lock is
// held.
func (l *LocalDispatcher) track(now time.Time, job dispatch.Job, p dispatch.Placement) {
	l.tracker.Placed(now, quarantine.Job{
		Key: job.Key(), Service: job.Service, Endpoint: p.Endpoint, Parts: job.Parts, Deadline: job.Deadline,
	})
}

// trackedEnd returns what the end of a job tells about the parts of its prompt.
func trackedEnd(e dispatch.End) quarantine.End {
	switch {
	case e.BrokenOff:
		return quarantine.BrokenOff
	case e.Outcome == dispatch.Served:
		return quarantine.Answered
	}
	return quarantine.Other
}
