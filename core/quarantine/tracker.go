package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

// Job is a request that was placed at an endpoint.
type Job struct {
	Key     dispatch.JobKey
	Service string
	// Endpoint is the one that answers.
	Endpoint string
	// Parts are the IDs of the parts of the prompt. The last one belongs to the request
	// and identifies it. A request to a plain service has none.
	Parts []string
	// Deadline is when the request times out.
	Deadline time.Time
}

// End is how a job ended at its endpoint.
type End uint8

// Ends of a job.
const (
	// Other ends tell nothing about the request.
	Other End = iota
	// Answered means that the answer was complete and no failure of the endpoint. It tells
	// of the parts of the prompt only if the answer began.
	Answered
	// BrokenOff means that the endpoint ended the connection before the answer was
	// complete.
	BrokenOff
)

// trackedJob is a job in flight.
type trackedJob struct {
	Job
	placedAt time.Time
	// beganAt is the time of the first event; zero if there was none.
	beganAt time.Time
}

// shared returns the parts of the prompt but for the last one, and that one.
func (j *Job) shared() ([]string, string) {
	n := len(j.Parts) - 1
	if n < 1 {
		return nil, ""
	}
	return j.Parts[:n], j.Parts[n]
}

// breakage is a number of jobs that broke off at one endpoint at about the same time.
type breakage struct {
	service string
	since   time.Time
	// broken and answered count the jobs placed before since that ended since then.
	broken   int
	answered int
	suspects []Suspect
}

// Tracker collects evidence on the parts of prompts. It is not safe for concurrent use.
type Tracker struct {
	cfg  Config
	list *List
	jobs map[dispatch.JobKey]*trackedJob
	// atEndpoint has the jobs in flight by the endpoint that answers them.
	atEndpoint map[string]map[dispatch.JobKey]*trackedJob
	// breakages are those that are not decided yet, by endpoint.
	breakages map[string]*breakage
	// crashedAt has the time of the latest crash of an endpoint.
	crashedAt map[string]time.Time
	evidence  map[string]*evidence
	// answered has when requests with a subject were last answered.
	answered *lru.Cache[subjectKey, time.Time]
	// expiredAt is when expired jobs were last removed.
	expiredAt time.Time
}

// NewTracker returns a Tracker without jobs. The list has the verdicts on earlier
// findings.
func NewTracker(cfg Config, list *List) *Tracker {
	answered, err := lru.New[subjectKey, time.Time](cfg.MaxAnswered)
	if err != nil {
		panic(err) // the limit is not positive
	}
	return &Tracker{
		cfg:        cfg,
		list:       list,
		jobs:       make(map[dispatch.JobKey]*trackedJob),
		atEndpoint: make(map[string]map[dispatch.JobKey]*trackedJob),
		breakages:  make(map[string]*breakage),
		crashedAt:  make(map[string]time.Time),
		evidence:   make(map[string]*evidence),
		answered:   answered,
	}
}

// Placed records a job that is sent to its endpoint. A job that is known already is ignored.
func (t *Tracker) Placed(now time.Time, job Job) {
	if t.jobs[job.Key] != nil {
		return
	}
	j := &trackedJob{Job: job, placedAt: now}
	t.jobs[job.Key] = j
	at := t.atEndpoint[job.Endpoint]
	if at == nil {
		at = make(map[dispatch.JobKey]*trackedJob)
		t.atEndpoint[job.Endpoint] = at
	}
	at[job.Key] = j
}

// Began records the first event of a job's answer.
func (t *Tracker) Began(now time.Time, key dispatch.JobKey) {
	if j := t.jobs[key]; j != nil && j.beganAt.IsZero() {
		j.beganAt = now
	}
}

// Identity identifies a request, whichever attempt and VM it comes by.
type Identity struct {
	// Digest is the digest of the request; empty if it is not told.
	Digest string
	// Answered is set if the VM of the request has seen it answered before.
	Answered bool
}

// Ended records the end of a job. The identity of its request is needed if it broke off, or
// while Suspicious; otherwise it may be empty. Ended returns a finding if the request was
// answered although it is withheld.
func (t *Tracker) Ended(now time.Time, key dispatch.JobKey, end End, request Identity) []Finding {
	j := t.jobs[key]
	if j == nil {
		return nil
	}
	t.remove(j)
	if end == BrokenOff {
		t.recordBroken(now, j, request)
	} else if b := t.breakages[j.Endpoint]; b != nil && end == Answered && !j.placedAt.After(b.since) {
		b.answered++
	}
	digest := ""
	if end == Answered {
		digest = request.Digest
	}
	var parts []string
	if end == Answered && !j.beganAt.IsZero() || t.survived(now, j) {
		parts, _ = j.shared()
	}
	t.clear(now, j.Service, digest, parts)
	if subject, _ := t.list.Withheld(now, j.Service, digest, parts); !subject.None() {
		return []Finding{{Service: j.Service, Subject: subject, Sound: true}}
	}
	return nil
}

// Suspicious reports whether answered requests to the service are to be told with their
// digests, as a request is a suspect of a crash, or is withheld.
func (t *Tracker) Suspicious(now time.Time, service string) bool {
	e := t.evidence[service]
	return e != nil && len(e.crashes) > 0 || t.list.anyRequest(now, service)
}

// survived reports whether the job's endpoint has gone on for long enough after the
// first event for the job not to be the cause of a later crash.
func (t *Tracker) survived(now time.Time, j *trackedJob) bool {
	return !j.beganAt.IsZero() && now.Sub(j.beganAt) >= t.cfg.BeginGrace
}

// AnsweredBefore reports whether a request to the service was answered.
func (t *Tracker) AnsweredBefore(service, digest string) bool {
	return t.answered.Contains(subjectKey{service, Subject{Digest: digest}})
}

// clear records that a request with the digest and the parts was answered, and removes them
// from the evidence. The digest may be empty.
func (t *Tracker) clear(now time.Time, service, digest string, parts []string) {
	if digest != "" {
		t.answered.Add(subjectKey{service, Subject{Digest: digest}}, now)
	}
	for _, part := range parts {
		t.answered.Add(subjectKey{service, Subject{Part: part}}, now)
	}
	if e := t.evidence[service]; e != nil {
		e.clear(digest, parts)
	}
}

// recordBroken adds a job that broke off to the breakage of its endpoint.
func (t *Tracker) recordBroken(now time.Time, j *trackedJob, id Identity) {
	if crashed, ok := t.crashedAt[j.Endpoint]; ok && !j.placedAt.After(crashed) {
		// A late report of a crash that is decided already.
		return
	}
	b := t.breakages[j.Endpoint]
	if b == nil {
		b = &breakage{service: j.Service, since: now}
		t.breakages[j.Endpoint] = b
	}
	b.broken++
	parts, request := j.shared()
	if (len(parts) > 0 || id.Digest != "") && !t.survived(now, j) {
		answered := id.Answered || t.AnsweredBefore(j.Service, id.Digest)
		b.suspects = append(b.suspects, Suspect{Request: request, Parts: parts, Digest: id.Digest, Answered: answered, Began: !j.beganAt.IsZero(), PlacedAt: j.placedAt})
	}
}

// DropOwner removes the jobs of an entry VM.
func (t *Tracker) DropOwner(owner string) {
	for _, j := range t.jobs {
		if j.Key.Owner == owner {
			t.remove(j)
		}
	}
}

func (t *Tracker) remove(j *trackedJob) {
	delete(t.jobs, j.Key)
	at := t.atEndpoint[j.Endpoint]
	delete(at, j.Key)
	if len(at) == 0 {
		delete(t.atEndpoint, j.Endpoint)
	}
}

// Undecided reports whether Tick has something to decide later.
func (t *Tracker) Undecided() bool { return len(t.breakages) > 0 }

// Tick decides which endpoints have crashed, and returns the findings that follow.
func (t *Tracker) Tick(now time.Time) []Finding {
	var findings []Finding
	for _, c := range t.Crashed(now) {
		for _, f := range t.Report(now, c.Service, c.Crash) {
			if !slices.Contains(findings, f) {
				findings = append(findings, f)
			}
		}
	}
	return findings
}

// ServiceCrash is the crash of an endpoint of a service.
type ServiceCrash struct {
	Service string
	Crash
}

// Crashed decides which endpoints have crashed, and returns the crashes. They are not added
// to the evidence.
func (t *Tracker) Crashed(now time.Time) []ServiceCrash {
	var crashes []ServiceCrash
	for _, endpoint := range t.due(now) {
		b := t.breakages[endpoint]
		delete(t.breakages, endpoint)
		if !t.crashed(endpoint, b) {
			continue
		}
		t.crashedAt[endpoint] = now
		crashes = append(crashes, ServiceCrash{b.service, Crash{Endpoint: endpoint, At: b.since, Suspects: b.suspects}})
	}
	t.expire(now)
	return crashes
}

// Report adds a crash to the evidence and returns the findings that follow.
func (t *Tracker) Report(now time.Time, service string, c Crash) []Finding {
	if !t.AddCrash(now, service, c) {
		return nil
	}
	return t.find(now, service)
}

// ClearRequest removes a request that was answered from the evidence.
func (t *Tracker) ClearRequest(now time.Time, service, digest string) {
	t.clear(now, service, digest, nil)
}

// due returns the endpoints whose breakages are to be decided, in the order of their
// IDs.
func (t *Tracker) due(now time.Time) []string {
	var endpoints []string
	for endpoint, b := range t.breakages {
		if now.Sub(b.since) >= t.cfg.ConfirmAfter {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}

// crashed reports whether most of the jobs that were in flight at the endpoint broke
// off. If an endpoint breaks off single answers, the others go on.
func (t *Tracker) crashed(endpoint string, b *breakage) bool {
	alive := b.answered
	for _, j := range t.atEndpoint[endpoint] {
		if !j.placedAt.After(b.since) {
			alive++
		}
	}
	return b.broken > alive
}

// find returns the findings that the evidence on a service gives.
func (t *Tracker) find(now time.Time, service string) []Finding {
	t.clearAnswering(now, service)
	known := knowledge{
		repeated: func(s Subject) bool { return t.list.repeated(now, service, s) },
		answered: func(s Subject) bool { return t.answered.Contains(subjectKey{service, s}) },
	}
	e := t.evidence[service]
	findings := e.findRequests(t.cfg, known)
	if part, found := e.find(t.cfg, known); found {
		findings = append(findings, Finding{Subject: Subject{Part: part}})
	}
	for i := range findings {
		findings[i].Service = service
	}
	return findings
}

// Explain removes the crashes that a subject is the cause of from the evidence.
func (t *Tracker) Explain(service string, subject Subject) {
	if e := t.evidence[service]; e != nil {
		e.explain(subject)
	}
}

// clearAnswering clears the parts of the prompts that are being answered at present.
func (t *Tracker) clearAnswering(now time.Time, service string) {
	for _, j := range t.jobs {
		if j.Service == service && t.survived(now, j) {
			parts, _ := j.shared()
			t.clear(now, service, "", parts)
		}
	}
}

// expire removes the jobs whose end was not reported, and the crashes of endpoints at
// which no job from before can be in flight any more.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < dispatch.ExpireAfter {
		return
	}
	t.expiredAt = now
	for _, j := range t.jobs {
		if now.Sub(j.Deadline) > dispatch.ExpireAfter {
			t.remove(j)
		}
	}
	for endpoint, at := range t.crashedAt {
		if now.Sub(at) > t.cfg.Window {
			delete(t.crashedAt, endpoint)
		}
	}
}
