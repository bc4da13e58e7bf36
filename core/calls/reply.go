package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
)

// Reply is the reply to the caller. Exactly one of Result and Err is set.
type Reply struct {
	Result *Result
	Err    *errcode.Error
}

// Report returns the reply for a recorded call. ended says that the process
// that wrote the row is known to have ended.
func Report(row Row, now time.Time, cfg Config, ended bool) Reply {
	switch {
	case row.Status == StatusDone && row.TooLarge:
		return Reply{Err: errcode.New(errcode.ResultTooLarge, "the call ran; its answer was too large to keep")}
	case row.Status == StatusDone:
		result := row.Result
		return Reply{Result: &result}
	case row.Status == StatusNotRun:
		return Reply{Err: notRun()}
	case row.Status == StatusUnknown, ended, row.Overdue(now, cfg.OverdueMargin):
		return Reply{Err: outcomeUnknown()}
	}
	return Reply{Err: errcode.New(errcode.CallInProgress, "a call with the key is in progress; this request sent nothing").
		WithRan(errcode.RanUnknown).WithRetryAfter(cfg.InProgressRetry)}
}

func notRun() *errcode.Error {
	return errcode.New(errcode.EndpointFailed, "the call did not run").WithRan(errcode.RanNo)
}

func outcomeUnknown() *errcode.Error {
	return errcode.New(errcode.CallOutcomeUnknown, "the outcome of the call is not known")
}

func keyReused() *errcode.Error {
	return errcode.New(errcode.KeyReused, "the key was used with another request")
}

func storeUnavailable(retryAfter time.Duration) *errcode.Error {
	return errcode.New(errcode.StoreUnavailable, "this request could not be recorded, so it was not sent").WithRetryAfter(retryAfter)
}
