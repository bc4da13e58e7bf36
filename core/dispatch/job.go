package dispatch

import "time"

// JobKey identifies a job among those of all entry VMs. Two VMs may use the same
// ID, as a caller can send one request to both.
type JobKey struct {
	// Owner is the entry VM that holds the caller's connection.
	Owner string
	// ID is unique among the owner's jobs.
	ID string
}

// Job is a request that needs an endpoint.
type Job struct {
	// ID is unique among the jobs of the owner.
	ID string
	// Owner is the entry VM that holds the caller's connection.
	Owner string
	// Term counts the owner's changes of the VM whose dispatcher it submits to.
	// A job that is reported again after a change has a higher term.
	Term int64
	// Domain is the failure domain of the owner; empty if it is not known.
	Domain string
	// Service is the pool that may serve the job.
	Service string
	// Route and Method are those of the request, and BodyBytes is the size of its body. Requests
	// that agree in them are expected to cost about the same.
	Route     string
	Method    string
	BodyBytes int
	// Organisation is the organisation that sent the request; empty for none.
	Organisation string
	// Arrived is when the request had been received completely.
	Arrived time.Time
	// Due is the latency goal: when the first event, or the answer of a plain
	// service, becomes late. It is zero for none.
	Due time.Time
	// Deadline is when the request times out, at the caller or by its route.
	Deadline time.Time
	// OwnerExit is when the owner exits, which ends the job if it is still in progress; zero
	// unless the owner is stopping.
	OwnerExit time.Time
	// MayHaveRun is set if the request may have run, so that its caller may have the begin of the
	// answer. Then a refusal is no better for the caller than an answer that the owner's exit cuts,
	// and the owner leaves out OwnerExit. It is not set while that answer is still open, as the
	// refusal of another endpoint loses nothing then. Only the owner sets and reads it.
	MayHaveRun bool
	// FirstEventBy is when the caller disconnects if no event has come; zero if it
	// stays until the deadline.
	FirstEventBy time.Time
	// MaxGap is the longest gap between two events that counts as on time.
	MaxGap time.Duration
	// Priority is the scheduling priority; 0 is the highest.
	Priority int
	// PromptTokens and Answer are lengths in tokens; zero for a plain service.
	PromptTokens int
	AnswerTokens int
	// Parts are the IDs of the parts of the prompt, the last of which belongs to the
	// request; empty if they are not known.
	Parts []string
	// Avoid lists the IDs of endpoints at which the job has failed. They are used if
	// there is no other.
	Avoid []string
	// Exclude lists the IDs of endpoints that must not get the job.
	Exclude []string
}

// endBy returns when the job must have ended.
func (j *Job) endBy() time.Time {
	if j.OwnerExit.IsZero() {
		return j.Deadline
	}
	return earlier(j.Deadline, j.OwnerExit)
}

// ownerExitsFirst reports whether the job's owner exits before its deadline.
func (j *Job) ownerExitsFirst() bool {
	return !j.OwnerExit.IsZero() && j.OwnerExit.Before(j.Deadline)
}

// Key returns the job's key.
func (j *Job) Key() JobKey { return JobKey{Owner: j.Owner, ID: j.ID} }

// unrestricted reports whether the job may be placed at any endpoint of its service, so
// that what is found for it is true of others as well.
func (j *Job) unrestricted() bool { return len(j.Avoid) == 0 && len(j.Exclude) == 0 }

// Placement assigns a job to endpoints.
type Placement struct {
	// Job is the job's ID.
	Job string
	// Endpoint is the receiver: it gets the request and produces the answer.
	Endpoint string
	// Helpers prefill parts of the prompt as well.
	Helpers []string
	// Shares is the KV-cache memory, in tokens, that each of the first helpers
	// holds of the prompt in place of the receiver.
	Shares []int
	// Predicted is the predicted time to the first event on which the placement
	// is based; zero for a plain service.
	Predicted time.Duration
	// Limited is set if the endpoint has named a limit on its requests.
	Limited bool
	// Expected is the expected time of a call of a plain service at the endpoint, and Evidence the
	// number of recent requests on which it is based; zero if it was not estimated.
	Expected time.Duration
	Evidence float64
}

// endpoints returns the IDs of the endpoints that prefill the prompt, the
// receiver first.
func (p *Placement) endpoints() []string { return append([]string{p.Endpoint}, p.Helpers...) }

// Reason is the cause of a refusal.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNoEndpoint means that the service has no endpoint.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonTooLarge means that the endpoints don't have the memory for the
	// prompt.
	ReasonTooLarge Reason = "prompt_too_large"
	// ReasonTooLate means that the job can't be answered in time.
	ReasonTooLate Reason = "deadline_unreachable"
	// ReasonOwnerStopping means that the job can't be answered before its owner exits.
	ReasonOwnerStopping Reason = "vm_stopping"
	// ReasonLimited means that the endpoints take too few requests for the job to get its
	// turn in time.
	ReasonLimited Reason = "endpoints_limited"
	// ReasonOverShare means that the job can't be answered in time, and that its organisation
	// has received more than its share of the service's work.
	ReasonOverShare Reason = "organisation_over_share"
	// ReasonWithheld means that a part of the prompt crashes endpoints.
	ReasonWithheld Reason = "part_withheld"
	// ReasonRequestWithheld means that the request itself crashes endpoints.
	ReasonRequestWithheld Reason = "request_withheld"
)

// Refusal is the decision not to place a job. The job has not run.
type Refusal struct {
	// Job is the job's ID.
	Job    string
	Reason Reason
	// RetryAfter is the minimum time before a retry; zero if a retry would fail
	// too.
	RetryAfter time.Duration
	// Received is the part of the service's recent work that the job's organisation has
	// received, and Share the part that it is due; zero unless that is the reason.
	Received, Share float64
}

// Decision is either a Placement or a Refusal.
type Decision struct {
	// Owner is the entry VM of the job.
	Owner     string
	Placement *Placement
	Refusal   *Refusal
}

// Outcome is how a placed job ended at its endpoint.
type Outcome uint8

// Outcomes of a placed job.
const (
	// Served means that the endpoint answered, with whatever result.
	Served Outcome = iota
	// Abandoned means that the caller disconnected or the request timed out.
	Abandoned
	// Rejected means that the endpoint proved not to have run the job.
	Rejected
	// Failed means that the endpoint broke off its answer or never answered.
	Failed
)

// End is how a placed job ended at its endpoint.
type End struct {
	Outcome Outcome
	// Blamed is the ID of the endpoint at fault; empty for the one that received the
	// job.
	Blamed string
	// BrokenOff is set if the endpoint ended the connection before the answer was
	// complete, as when it crashes.
	BrokenOff bool
	// Digest identifies the request, whichever attempt and VM it comes by.
	Digest string
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Abandoned:
		return "abandoned"
	case Rejected:
		return "rejected"
	}
	return "failed"
}

// Key returns the key of the job that was decided.
func (d Decision) Key() JobKey {
	if d.Placement != nil {
		return JobKey{Owner: d.Owner, ID: d.Placement.Job}
	}
	return JobKey{Owner: d.Owner, ID: d.Refusal.Job}
}
