package dispatch

import "time"

// Config has the weights and limits of placement.
type Config struct {
	// LateLoss is the share of a request's worth that is lost when its first
	// event, or a pause between two, is late.
	LateLoss float64
	// GapShare is the part of the longest pause allowed that a predicted pass
	// may fill.
	GapShare float64
	// GoalShare is the part of the goal that a predicted first event may fill.
	GoalShare float64
	// SafeShare is the part of the time to the last useful first event that a
	// predicted one may fill without risk.
	SafeShare float64
	// LightPrefillMs is the longest reading time, in ms on one engine, of a prompt
	// that counts as light.
	LightPrefillMs float64
	// LightJobsPerEngine is the number of light writers for which one engine is
	// kept free of long reading.
	LightJobsPerEngine float64
	// LightBacklogMs is the reading of light prompts, in ms, for which one engine is kept
	// free, so that many that come at once are not read one after the other.
	LightBacklogMs float64
	// MaxPrefillEngines bounds the engines that read one prompt.
	MaxPrefillEngines int
	// ShareTokens is the memory that one helper holds of a prompt that is larger
	// than its receiver, where there are enough helpers.
	ShareTokens int
	// MemoryShare is the part of an engine's memory that is given out.
	MemoryShare float64
	// TokensPerValueUnit is the number of prompt tokens that weigh as much as a
	// request by itself.
	TokensPerValueUnit float64
	// MaxBacklogMs is the reading that an engine may have before it gets more of
	// long prompts: what waits here can still go anywhere. LateBacklogMs is the
	// same for prompts that are late already.
	MaxBacklogMs  float64
	LateBacklogMs float64
	// HoldThreshold is the share of its worth that a placement may cost others, and
	// itself against the best that could be, before the request rather waits.
	HoldThreshold float64
	// DelayWeight is the share of its worth that a request loses when its first
	// event comes just at its goal rather than at once.
	DelayWeight float64
	// NonInteractivePenalty is the share of its worth that a light request pays for
	// an engine that is meant for long reading.
	NonInteractivePenalty float64
	// AgeingLevels is by how many levels a queued request's priority rises in the
	// time to its goal.
	AgeingLevels float64
	// QueueMargin is kept between the predicted first event and the deadline.
	QueueMargin time.Duration
	// RecheckInterval is the time between two looks at a long prompt that waits.
	RecheckInterval time.Duration
	// RateWindow is the time over which arrivals are averaged.
	RateWindow time.Duration
	// LongRateWindow is the same for the reading of long prompts, which are fewer.
	LongRateWindow time.Duration
	// OverdueSlack is how late a first event is before its endpoint counts as
	// overdue.
	OverdueSlack time.Duration
	// RejectBackoff is how long an endpoint that rejected a request gets no work, and
	// FailureBackoff one that failed; it doubles with each further time in a row up
	// to MaxSuspectFor.
	RejectBackoff  time.Duration
	FailureBackoff time.Duration
	MaxBackoff     time.Duration
}

// DefaultConfig is what entry VMs use.
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
		RecheckInterval:       10 * time.Millisecond,
		RateWindow:            time.Second,
		LongRateWindow:        3 * time.Second,
		OverdueSlack:          100 * time.Millisecond,
		RejectBackoff:         150 * time.Millisecond,
		FailureBackoff:        500 * time.Millisecond,
		MaxBackoff:            8 * time.Second,
	}
}
