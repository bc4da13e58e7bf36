package dispatch

import "time"

// Config holds the weights and limits of placement. A share is a fraction. A
// loss, a weight or a penalty is a fraction of a job's value, see
// TokensPerValueUnit.
type Config struct {
	// LateLoss is lost by a job whose first event, or whose gap between two
	// events, exceeds its limit.
	LateLoss float64
	// GapShare is the share of Job.MaxGap that a predicted pass may take.
	GapShare float64
	// GoalShare is the share of the time from arrival to Job.Due that a
	// predicted first event may use before LateLoss begins to apply.
	GoalShare float64
	// SafeShare is the share of the time from arrival to the first-event cutoff
	// that a predicted first event may use before the value left after LateLoss
	// begins to be lost.
	SafeShare float64
	// LightPrefillMs is the longest prefill time, in ms on one engine, of a
	// light prompt.
	LightPrefillMs float64
	// LightJobsPerEngine is the number of light jobs for which one engine is
	// kept free of long prefills.
	LightJobsPerEngine float64
	// LightBacklogMs is the prefill backlog of light prompts, in ms, for which
	// one engine is kept free of long prefills, so that a burst is not
	// prefilled one prompt after the other.
	LightBacklogMs float64
	// MaxPrefillEngines bounds the engines that prefill one prompt together.
	MaxPrefillEngines int
	// ShareTokens is the KV-cache memory, in tokens, that each helper holds of
	// a prompt that is larger than its receiver's memory. With too few helpers
	// for that, the prompt is divided evenly among the engines.
	ShareTokens int
	// MemoryShare is the share of an engine's KV-cache memory that placements
	// may use.
	MemoryShare float64
	// TokensPerValueUnit is the number of prompt tokens that add as much to a
	// job's value as the request itself, which counts 1.
	TokensPerValueUnit float64
	// MaxBacklogMs is the prefill backlog, in ms, above which an engine gets no
	// further part of a long prompt: a queued prompt can still go to any
	// engine. LateBacklogMs is the same limit for prompts that are already
	// late.
	MaxBacklogMs  float64
	LateBacklogMs float64
	// HoldThreshold is the largest share of a job's achievable value that a
	// placement may cost, to other jobs and to the job itself compared with the
	// fastest possible prefill. Above it the job is held in the queue, unless
	// more than half of the time to its goal has passed and the placement is
	// still on time.
	HoldThreshold float64
	// DelayWeight is lost by a job whose first event comes exactly at its goal
	// rather than immediately.
	DelayWeight float64
	// NonInteractivePenalty is charged to a light job for an engine that is
	// meant for long prefills.
	NonInteractivePenalty float64
	// RemotePenalty is charged to a light job for an engine outside its owner's failure domain.
	// Unless it is zero, owners' failure domains are preferred for all kinds of jobs.
	RemotePenalty float64
	// AgeingLevels is the number of levels by which a queued job's priority
	// rises between its arrival and its goal.
	AgeingLevels float64
	// QueueMargin is the time kept between the earliest possible first event of
	// a held job and its first-event cutoff.
	QueueMargin time.Duration
	// MaxCandidates is the number of engines that are evaluated for one placement of a
	// prompt, at most.
	MaxCandidates int
	// RecheckInterval is the time between two placement attempts for a queued
	// long prompt, and RechecksPerInterval the number of queued long prompts above
	// which it grows in proportion to their number, so that a long queue does not take
	// all of the VM's processor time.
	RecheckInterval     time.Duration
	RechecksPerInterval int
	// HeldLightSearches is the number of light jobs of a service that may be searched an
	// assignment for in vain in a LightRecheckInterval; then all are held until its end.
	HeldLightSearches    int
	LightRecheckInterval time.Duration
	// RateWindow is the time constant of the average arrival rate of light
	// jobs.
	RateWindow time.Duration
	// LongRateWindow is the same for the prefill and value of long prompts,
	// which are fewer.
	LongRateWindow time.Duration
	// OverdueSlack is how late a first event may be before its endpoint counts
	// as overdue.
	OverdueSlack time.Duration
	// JoinWait is how long jobs wait for an endpoint of a service that has none, and the
	// time after which the callers of refused ones may come back.
	JoinWait time.Duration
	// RejectBackoff is the back-off of an endpoint that rejected a job, and
	// FailureBackoff of one that failed. Both double with each consecutive
	// failure or rejection, up to MaxBackoff.
	RejectBackoff  time.Duration
	FailureBackoff time.Duration
	MaxBackoff     time.Duration
	// LearnCosts places jobs by what they are expected to cost and by the work that is left at
	// each endpoint; without it the jobs of plain services are counted.
	LearnCosts bool
	// FairShares orders and refuses queued jobs by the work that their organisations have received.
	FairShares bool
}

// NearRemotePenalty is the RemotePenalty with which a light job goes to another failure domain if its
// first event is expected there earlier by more than a tenth of its goal: by DefaultConfig's
// DelayWeight, this delay costs as much.
const NearRemotePenalty = 0.02

// DefaultConfig returns the configuration that entry VMs use.
func DefaultConfig() Config {
	return Config{
		LateLoss:              0.75,
		GapShare:              0.9,
		GoalShare:             0.9,
		SafeShare:             0.5,
		LightPrefillMs:        80,
		LightJobsPerEngine:    14,
		LightBacklogMs:        100,
		MaxPrefillEngines:     17,
		ShareTokens:           100000,
		MemoryShare:           0.92,
		TokensPerValueUnit:    10000,
		MaxBacklogMs:          250,
		LateBacklogMs:         50,
		HoldThreshold:         0.35,
		DelayWeight:           0.2,
		NonInteractivePenalty: 0.2,
		AgeingLevels:          4,
		QueueMargin:           150 * time.Millisecond,
		MaxCandidates:         256,
		RecheckInterval:       10 * time.Millisecond,
		RechecksPerInterval:   8,
		HeldLightSearches:     4,
		LightRecheckInterval:  5 * time.Millisecond,
		RateWindow:            time.Second,
		LongRateWindow:        3 * time.Second,
		OverdueSlack:          100 * time.Millisecond,
		JoinWait:              time.Second,
		RejectBackoff:         150 * time.Millisecond,
		FailureBackoff:        500 * time.Millisecond,
		MaxBackoff:            8 * time.Second,
	}
}
