package coordination

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// The methods by which VMs place requests together.
const (
	methodPlace peer.Method = "dispatch.place"
	methodGrant peer.Method = "dispatch.grant"
	methodNote  peer.Method = "dispatch.note"
)

// jobMessage is a job between VMs. Their clocks differ, so it has times from now
// on, in microseconds.
type jobMessage struct {
	ID           string   `json:"id"`
	Term         int64    `json:"k,omitempty"`
	Service      string   `json:"s"`
	Organisation string   `json:"o,omitempty"`
	Age          int64    `json:"a"`
	Due          *int64   `json:"d,omitempty"`
	Deadline     int64    `json:"e"`
	FirstBy      *int64   `json:"f,omitempty"`
	Gap          int64    `json:"g,omitempty"`
	Priority     int      `json:"p,omitempty"`
	Prompt       int      `json:"n,omitempty"`
	Answer       int      `json:"w,omitempty"`
	Avoid        []string `json:"v,omitempty"`
}

func encodeJob(now time.Time, j dispatch.Job) jobMessage {
	return jobMessage{
		ID: j.ID, Term: j.Term, Service: j.Service, Organisation: j.Organisation,
		Age: now.Sub(j.Arrived).Microseconds(), Due: until(now, j.Due),
		Deadline: j.Deadline.Sub(now).Microseconds(), FirstBy: until(now, j.FirstBy),
		Gap: j.Gap.Microseconds(), Priority: j.Priority, Prompt: j.Prompt, Answer: j.Answer, Avoid: j.Avoid,
	}
}

func (m jobMessage) job(now time.Time, owner string) dispatch.Job {
	return dispatch.Job{
		ID: m.ID, Owner: owner, Term: m.Term, Service: m.Service, Organisation: m.Organisation,
		Arrived: now.Add(-microseconds(m.Age)), Due: moment(now, m.Due),
		Deadline: now.Add(microseconds(m.Deadline)), FirstBy: moment(now, m.FirstBy),
		Gap: microseconds(m.Gap), Priority: m.Priority, Prompt: m.Prompt, Answer: m.Answer, Avoid: m.Avoid,
	}
}

// until is the time from now on, in microseconds; nil for the zero time.
func until(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	n := at.Sub(now).Microseconds()
	return &n
}

// moment is the time that until told of.
func moment(now time.Time, n *int64) time.Time {
	if n == nil {
		return time.Time{}
	}
	return now.Add(microseconds(*n))
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// decisionMessage is a decision between VMs; one without an endpoint and a
// reason says that the job waits.
type decisionMessage struct {
	Job        string   `json:"j"`
	Endpoint   string   `json:"e,omitempty"`
	Helpers    []string `json:"h,omitempty"`
	Shares     []int    `json:"m,omitempty"`
	Predicted  int64    `json:"f,omitempty"`
	Reason     string   `json:"r,omitempty"`
	RetryAfter int64    `json:"t,omitempty"`
}

func encodeDecision(d dispatch.Decision) decisionMessage {
	if d.Refusal != nil {
		return decisionMessage{Job: d.Refusal.Job, Reason: string(d.Refusal.Reason), RetryAfter: d.Refusal.RetryAfter.Microseconds()}
	}
	p := d.Placement
	return decisionMessage{Job: p.Job, Endpoint: p.Endpoint, Helpers: p.Helpers, Shares: p.Shares, Predicted: p.Predicted.Microseconds()}
}

// decided reports whether the message has a decision.
func (m decisionMessage) decided() bool { return m.Endpoint != "" || m.Reason != "" }

func (m decisionMessage) decision() dispatch.Decision {
	if m.Reason != "" {
		return dispatch.Decision{Refusal: &dispatch.Refusal{
			Job: m.Job, Reason: dispatch.Reason(m.Reason), RetryAfter: microseconds(m.RetryAfter),
		}}
	}
	return dispatch.Decision{Placement: &dispatch.Placement{
		Job: m.Job, Endpoint: m.Endpoint, Helpers: m.Helpers, Shares: m.Shares, Predicted: microseconds(m.Predicted),
	}}
}

// grantAnswer says whether a granted job is still wanted.
type grantAnswer struct {
	Wanted bool `json:"w"`
}

// noteMessage tells a holder how jobs of a VM fare.
type noteMessage struct {
	// Reset says which jobs of the VM are forgotten first; nil for none.
	Reset *reset `json:"r,omitempty"`
	Notes []note `json:"n"`
}

// reset names the jobs of a service that are of earlier terms, and of which the
// notes have those that last.
type reset struct {
	Service string `json:"s"`
	Term    int64  `json:"t"`
}

// note is one thing that happened to a job.
type note struct {
	Job string `json:"j"`
	// Adopted has a job that was placed by another holder.
	Adopted *adopted `json:"a,omitempty"`
	Began   bool     `json:"b,omitempty"`
	// Finished says that the job ended with the Outcome.
	Finished bool             `json:"f,omitempty"`
	Outcome  dispatch.Outcome `json:"o,omitempty"`
	// Blamed is the endpoint at fault; empty for the job's own.
	Blamed string `json:"l,omitempty"`
}

// adopted is a job with its placement.
type adopted struct {
	Job       jobMessage      `json:"j"`
	Placement decisionMessage `json:"p"`
	Began     bool            `json:"b,omitempty"`
}
