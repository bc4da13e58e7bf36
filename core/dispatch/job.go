package dispatch

import "time"

// Job is one request that wants an endpoint.
type Job struct {
	// ID names the job among those of all entry VMs.
	ID string
	// Owner is the entry VM that has the caller's connection.
	Owner string
	// Term counts the owner's changes of whom it asks; a job that is told anew
	// after a change has a later one.
	Term int64
	// Service is the pool that may serve it.
	Service string
	// Organisation is whose request it is; empty for nobody's.
	Organisation string
	// Arrived is when the caller's request was complete.
	Arrived time.Time
	// Due is when its first event, or its answer, is late; zero for never.
	Due time.Time
	// Deadline is when its caller, or its route, gives up.
	Deadline time.Time
	// FirstBy is when its caller leaves if no event has come; zero for not before
	// the deadline.
	FirstBy time.Time
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration
	// Priority ranks the job; 0 is the highest.
	Priority int
	// Prompt and Answer are numbers of tokens; zero for a plain service.
	Prompt int
	Answer int
	// Avoid lists endpoints at which it failed before.
	Avoid []string
}

// Placement says where a job goes.
type Placement struct {
	Job string
	// Endpoint receives the request.
	Endpoint string
	// Helpers read parts of its prompt besides.
	Helpers []string
	// Shares are the parts of the prompt's memory that helpers hold, in place of
	// the receiver: for each of the first helpers a number of tokens.
	Shares []int
	// Predicted is the time until the first event that the choice was made by; zero
	// for a plain service.
	Predicted time.Duration
}

// endpoints are those that read the prompt, the receiver first.
func (p *Placement) endpoints() []string { return append([]string{p.Endpoint}, p.Helpers...) }

// Reason says why a job was refused.
type Reason string

// The reasons.
const (
	// ReasonNoEndpoint says that the service has no endpoint to use.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonTooLarge says that no endpoint can hold the prompt.
	ReasonTooLarge Reason = "prompt_too_large"
	// ReasonTooLate says that the job can't be answered by its deadline.
	ReasonTooLate Reason = "deadline_unreachable"
)

// Refusal says that a job is not placed. It has not run.
type Refusal struct {
	Job    string
	Reason Reason
	// RetryAfter is when it may have better luck.
	RetryAfter time.Duration
}

// Decision is either a Placement or a Refusal.
type Decision struct {
	Owner     string
	Placement *Placement
	Refusal   *Refusal
}

// Outcome is how a placed job ended at its endpoint.
type Outcome uint8

// The outcomes.
const (
	// Served says that the endpoint answered, whatever it said.
	Served Outcome = iota
	// Abandoned says that the caller left, or its time ran out.
	Abandoned
	// Rejected says that the endpoint proved not to have run it.
	Rejected
	// Failed says that the endpoint broke off, or never answered.
	Failed
)

// String returns the outcome's name in the log.
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

// JobID is the job that the decision is about.
func (d Decision) JobID() string {
	if d.Placement != nil {
		return d.Placement.Job
	}
	return d.Refusal.Job
}
