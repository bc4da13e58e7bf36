package coordination

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/ratelimit"
	"cornelsaddle.example/cornelsaddle/core/workcost"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// The methods of the coordination protocol between VMs.
const (
	methodPlace peer.Method = "dispatch.place"
	methodGrant peer.Method = "dispatch.grant"
	methodNote  peer.Method = "dispatch.note"
)

// jobMessage is a job as sent between VMs. All times are in microseconds, relative
// to the time of encoding, since the VMs' clocks differ.
type jobMessage struct {
	ID           string `json:"id"`
	Term         int64  `json:"k,omitempty"`
	Service      string `json:"s"`
	Organisation string `json:"o,omitempty"`
	Age          int64  `json:"a"`
	Due          *int64 `json:"d,omitempty"`
	Deadline     int64  `json:"e"`
	// OwnerExit is unknown to earlier builds, which may place the job too late for its
	// owner to finish it.
	OwnerExit *int64   `json:"b,omitempty"`
	FirstBy   *int64   `json:"f,omitempty"`
	Gap       int64    `json:"g,omitempty"`
	Priority  int      `json:"p,omitempty"`
	Prompt    int      `json:"n,omitempty"`
	Answer    int      `json:"w,omitempty"`
	Avoid     []string `json:"v,omitempty"`
	// Exclude is unknown to earlier builds, which may place the job at an excluded
	// endpoint; its owner checks each placement.
	Exclude []string `json:"x,omitempty"`
	// Parts is unknown to earlier builds, which don't withhold prompts.
	Parts []string `json:"c,omitempty"`
	// Route, Method and BodyBytes are those of calls of plain services. They are unknown to earlier
	// builds, which count the jobs.
	Route     string `json:"r,omitempty"`
	Method    string `json:"m,omitempty"`
	BodyBytes int    `json:"z,omitempty"`
	// Domain is unknown to earlier builds, whose jobs have no preference.
	Domain string `json:"y,omitempty"`
}

func encodeJob(now time.Time, j dispatch.Job) jobMessage {
	m := jobMessage{
		ID: j.ID, Term: j.Term, Service: j.Service, Organisation: j.Organisation,
		Age: now.Sub(j.Arrived).Microseconds(), Due: encodeTime(now, j.Due),
		Deadline: j.Deadline.Sub(now).Microseconds(), OwnerExit: encodeTime(now, j.OwnerExit), FirstBy: encodeTime(now, j.FirstEventBy),
		Gap: j.MaxGap.Microseconds(), Priority: j.Priority, Prompt: j.PromptTokens, Answer: j.AnswerTokens, Avoid: j.Avoid, Exclude: j.Exclude, Parts: j.Parts,
		Domain: j.Domain,
	}
	if j.PromptTokens == 0 {
		m.Route, m.Method, m.BodyBytes = j.Route, workcost.MethodClass(j.Method), j.BodyBytes
	}
	return m
}

func (m jobMessage) job(now time.Time, owner string) dispatch.Job {
	return dispatch.Job{
		ID: m.ID, Owner: owner, Term: m.Term, Service: m.Service, Organisation: m.Organisation,
		Arrived: now.Add(-microseconds(m.Age)), Due: decodeTime(now, m.Due),
		Deadline: now.Add(microseconds(m.Deadline)), OwnerExit: decodeTime(now, m.OwnerExit), FirstEventBy: decodeTime(now, m.FirstBy),
		MaxGap: microseconds(m.Gap), Priority: m.Priority, PromptTokens: m.Prompt, AnswerTokens: m.Answer, Avoid: m.Avoid, Exclude: m.Exclude, Parts: m.Parts,
		Route: m.Route, Method: m.Method, BodyBytes: max(0, m.BodyBytes), Domain: m.Domain,
	}
}

// encodeTime returns the time from now to at, in microseconds; nil for a zero at.
func encodeTime(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	n := at.Sub(now).Microseconds()
	return &n
}

// decodeTime is the inverse of encodeTime.
func decodeTime(now time.Time, n *int64) time.Time {
	if n == nil {
		return time.Time{}
	}
	return now.Add(microseconds(*n))
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// decisionMessage is a decision as sent between VMs. Without an endpoint and a
// reason it means that the job is queued. Times are in microseconds.
type decisionMessage struct {
	Job        string   `json:"j"`
	Endpoint   string   `json:"e,omitempty"`
	Helpers    []string `json:"h,omitempty"`
	Shares     []int    `json:"m,omitempty"`
	Predicted  int64    `json:"f,omitempty"`
	Reason     string   `json:"r,omitempty"`
	RetryAfter int64    `json:"t,omitempty"`
	// Limited asks the job's owner to report the limit that the endpoint's response names,
	// also if it names none.
	Limited bool `json:"l,omitempty"`
	// Suspicious asks the job's owner for the digest of the request when it ends: the
	// holder has evidence on requests that crash endpoints.
	Suspicious bool `json:"u,omitempty"`
	// Expected is the expected time of a call of a plain service, and Evidence that on which it
	// is based; both are missing from holders of earlier builds.
	Expected int64   `json:"x,omitempty"`
	Evidence float64 `json:"n,omitempty"`
	// Received and Share are those of the refusal; zero for a holder of an earlier build.
	Received float64 `json:"q,omitempty"`
	Share    float64 `json:"y,omitempty"`
}

func encodeDecision(d dispatch.Decision) decisionMessage {
	if d.Refusal != nil {
		return decisionMessage{
			Job: d.Refusal.Job, Reason: string(d.Refusal.Reason), RetryAfter: d.Refusal.RetryAfter.Microseconds(),
			Received: d.Refusal.Received, Share: d.Refusal.Share,
		}
	}
	p := d.Placement
	return decisionMessage{
		Job: p.Job, Endpoint: p.Endpoint, Helpers: p.Helpers, Shares: p.Shares, Predicted: p.Predicted.Microseconds(), Limited: p.Limited,
		Expected: p.Expected.Microseconds(), Evidence: math.Round(p.Evidence*10) / 10,
	}
}

// decided reports whether the message holds a decision.
func (m decisionMessage) decided() bool { return m.Endpoint != "" || m.Reason != "" }

func (m decisionMessage) decision() dispatch.Decision {
	if m.Reason != "" {
		return dispatch.Decision{Refusal: &dispatch.Refusal{
			Job: m.Job, Reason: dispatch.Reason(m.Reason), RetryAfter: microseconds(m.RetryAfter),
			Received: m.Received, Share: m.Share,
		}}
	}
	return dispatch.Decision{Placement: &dispatch.Placement{
		Job: m.Job, Endpoint: m.Endpoint, Helpers: m.Helpers, Shares: m.Shares, Predicted: microseconds(m.Predicted), Limited: m.Limited,
		Expected: microseconds(m.Expected), Evidence: m.Evidence,
	}}
}

// grantResponse is the response to a decision sent to the job's owner.
type grantResponse struct {
	// Wanted is true if the job was still waiting for the decision.
	Wanted bool `json:"w"`
}

// updateMessage carries updates on a VM's jobs to a holder.
type updateMessage struct {
	// Reset selects the jobs of the VM that are removed first; nil for none.
	Reset   *reset      `json:"r,omitempty"`
	Updates []jobUpdate `json:"n"`
	// Held is the time from the encoding to the sending of the message, in microseconds, by which
	// the ages of Crashes and Limits have grown. It is zero from VMs of earlier builds, and
	// encodedAt is when the message was encoded; zero without Reset.
	Held      int64 `json:"q,omitempty"`
	encodedAt time.Time
	// Crashes are those that the sender has seen, of the endpoints of the service that
	// Reset names.
	Crashes []quarantine.CrashMessage `json:"c,omitempty"`
	// Limits are those that the sender knows, of the same endpoints.
	Limits []limitMessage `json:"l,omitempty"`
	// Costs is what the sender has learned of that service; nil from VMs of earlier builds, and
	// without LearnCosts.
	Costs *costsMessage `json:"w,omitempty"`
	// Shares is the work that the requests of the sender have received from the service by
	// organisation, the largest first. Without it, as from an earlier build, only what the
	// receiver has counted of them itself is known.
	Shares []shareMessage `json:"h,omitempty"`
}

// limitMessage is the limit of an endpoint as sent between VMs.
type limitMessage struct {
	Endpoint  string  `json:"e"`
	Started   int64   `json:"i,omitempty"`
	PerSecond float64 `json:"p"`
	// Age is the time since the endpoint named it, in microseconds.
	Age int64 `json:"a"`
}

// maxHeld bounds the time for which a message was held that is believed.
const maxHeld = time.Minute

// ageBase returns the time to which the ages in the message are relative.
func (m updateMessage) ageBase(now time.Time) time.Time {
	return now.Add(-max(0, min(microseconds(m.Held), maxHeld)))
}

func encodeCrashes(now time.Time, crashes []quarantine.Crash) []quarantine.CrashMessage {
	list := make([]quarantine.CrashMessage, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, quarantine.EncodeCrash(now, c))
	}
	return list
}

func encodeLimits(now time.Time, limits []dispatch.Limit) []limitMessage {
	list := make([]limitMessage, 0, len(limits))
	for _, l := range limits {
		list = append(list, limitMessage{l.Endpoint, l.Started, l.PerSecond, now.Sub(l.StatedAt).Microseconds()})
	}
	return list
}

func (m limitMessage) limit(now time.Time) dispatch.Limit {
	return dispatch.Limit{Endpoint: m.Endpoint, Started: m.Started, PerSecond: m.PerSecond, StatedAt: now.Add(-microseconds(m.Age))}
}

// reset selects the jobs of a service that are of terms before Term. The updates of
// the same message contain those that are still in flight.
type reset struct {
	Service string `json:"s"`
	Term    int64  `json:"t"`
}

// jobUpdate is one state change of a job.
type jobUpdate struct {
	Job string `json:"j"`
	// Adopted is set for a job that was placed by another holder.
	Adopted *adoptedJob `json:"a,omitempty"`
	// Began is true if the first event of the response has arrived.
	Began bool `json:"b,omitempty"`
	// Limit is set if the header of the response has arrived, of an endpoint that names a
	// limit or did so before.
	Limit *statedLimit `json:"m,omitempty"`
	// Finished is true if the job has ended, with the Outcome.
	Finished bool             `json:"f,omitempty"`
	Outcome  dispatch.Outcome `json:"o,omitempty"`
	// Blamed is the ID of the endpoint at fault; empty for the one that received the
	// job.
	Blamed string `json:"l,omitempty"`
	// BrokenOff is false for jobs of VMs of earlier builds.
	BrokenOff bool `json:"x,omitempty"`
	// Digest is the digest of the request, if it may be evidence, and Answered is set if the
	// VM has seen it answered before.
	Digest   string `json:"d,omitempty"`
	Answered bool   `json:"w,omitempty"`
}

// statedLimit is what a response says of its endpoint's limit; nothing for a nil PerSecond.
type statedLimit struct {
	PerSecond *float64 `json:"p,omitempty"`
}

func encodeStated(l ratelimit.Limit) *statedLimit {
	if !l.Stated {
		return &statedLimit{}
	}
	return &statedLimit{&l.PerSecond}
}

func (m statedLimit) stated() ratelimit.Limit {
	if m.PerSecond == nil {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{Stated: true, PerSecond: *m.PerSecond}
}

// identity returns the identity of the request.
func (u jobUpdate) identity() quarantine.Identity {
	return quarantine.Identity{Digest: u.Digest, Answered: u.Answered}
}

// end returns how the job ended.
func (u jobUpdate) end() dispatch.End {
	return dispatch.End{Outcome: u.Outcome, Blamed: u.Blamed, BrokenOff: u.BrokenOff, Digest: u.Digest}
}

// adoptedJob is a placed job with its placement.
type adoptedJob struct {
	Job       jobMessage      `json:"j"`
	Placement decisionMessage `json:"p"`
	Began     bool            `json:"b,omitempty"`
	// PlacedAge is the time since the placement, in microseconds; nil for VMs of earlier builds.
	PlacedAge *int64 `json:"a,omitempty"`
}

// maxPlacedAge bounds the time since the placement of a job that is believed.
const maxPlacedAge = time.Hour

// placedAt returns when the job was placed; zero if that is not known.
func (a *adoptedJob) placedAt(now time.Time) time.Time {
	if a.PlacedAge == nil || *a.PlacedAge < 0 || *a.PlacedAge > maxPlacedAge.Microseconds() {
		return time.Time{}
	}
	return now.Add(-microseconds(*a.PlacedAge))
}
