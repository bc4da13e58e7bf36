package quarantine

import "time"

// Config holds the limits of a Tracker and a List.
type Config struct {
	// Crashes is the number of crashes at separate moments, and Requests the number of
	// different requests among their suspects, from which a part is found to be the
	// cause. For a request the number of crashes is enough.
	Crashes  int
	Requests int
	// Moment is the time within which crashes count as one: several endpoints may have
	// crashed for a common reason.
	Moment time.Duration
	// MinRun is the time for which a request must have run at an endpoint for the crash to
	// count in full, and by itself shortly after another one.
	MinRun time.Duration
	// ConfirmAfter is the time from the first job that breaks off at an endpoint until
	// it is decided whether the endpoint crashed.
	ConfirmAfter time.Duration
	// BeginGrace is the time from a job's first event within which the job may still be
	// the cause of a crash.
	BeginGrace time.Duration
	// Window is the time for which a crash counts.
	Window time.Duration
	// MaxAnswered bounds the subjects that are remembered as those of answered requests.
	MaxAnswered int
	// MaxCrashes bounds the crashes of a service that are remembered, MaxSuspects the suspects
	// of a crash, and MaxSubjects the suspects of all crashes of a service, with their parts.
	// The oldest crashes are forgotten first.
	MaxCrashes  int
	MaxSuspects int
	MaxSubjects int
	// Period is the time for which a subject is withheld at first. It doubles with each
	// further verdict on the subject, up to MaxPeriod.
	Period    time.Duration
	MaxPeriod time.Duration
	// UncertainPeriod is the same time for a subject that may not be the cause.
	UncertainPeriod time.Duration
	// Memory is the time after the end of a verdict during which one crash is enough
	// for the next one.
	Memory time.Duration
	// MaxVerdicts bounds the verdicts that are remembered.
	MaxVerdicts int
}

// DefaultConfig returns the Config for production use.
func DefaultConfig() Config {
	return Config{
		Crashes:      3,
		Requests:     2,
		Moment:       200 * time.Millisecond,
		MinRun:       10 * time.Millisecond,
		ConfirmAfter: 100 * time.Millisecond,
		BeginGrace:   250 * time.Millisecond,
		Window:       10 * time.Minute,
		MaxAnswered:  16384,
		MaxCrashes:   64,
		MaxSuspects:  maxSuspects,
		MaxSubjects:  4096,
		Period:       10 * time.Minute,
		MaxPeriod:    6 * time.Hour,

		UncertainPeriod: 20 * time.Second,

		Memory:      time.Hour,
		MaxVerdicts: 1024,
	}
}
