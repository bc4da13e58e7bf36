package crashguard

import "cornelsaddle.example/cornelsaddle/core/quarantine"

// reportParams are the parameters of MethodReport.
type reportParams struct {
	Service string                  `json:"service"`
	Crash   quarantine.CrashMessage `json:"crash"`
}

// answeredParams are the parameters of MethodAnswered.
type answeredParams struct {
	Service string `json:"service"`
	Digest  string `json:"digest"`
}

// answeredResult is the result of MethodAnswered.
type answeredResult struct {
	// Known is set if the VM remembers an answer, and AgeUs is the time since the last one,
	// in microseconds.
	Known bool  `json:"known,omitempty"`
	AgeUs int64 `json:"age_us,omitempty"`
}
