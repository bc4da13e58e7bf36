package call

import (
	"errors"
	"time"

	"github.com/google/uuid"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// identified returns the request with the digest that identifies what the caller asks for,
// whichever attempt and VM it comes by.
func (r Request) identified() Request {
	r.digest = quarantine.Digest([]byte(r.Organisation), []byte(r.Service), []byte(r.Operation), r.Body)
	return r
}

// checkWithheld returns the error of a call that is withheld because it crashes endpoints;
// nil for others.
func (r *Runner) checkWithheld(req Request) error {
	wait := r.guard.Withheld(req.Service, req.digest)
	if wait == 0 {
		return nil
	}
	return errcode.New(errcode.RequestWithheld, "the call crashes the endpoints of %s", req.Service).WithRetryAfter(wait)
}

// do sends the call to an endpoint, and tells the guard how it ends.
func (r *Runner) do(req Request, address string, timeout time.Duration) (endpoint.Answer, error) {
	id := uuid.NewString()
	r.guard.Sent(crashguard.Request{ID: id, Service: req.Service, Endpoint: address, Deadline: req.Deadline})
	answer, err := r.service.Do(req.endpointCall(address, timeout))
	r.guard.Ended(id, req.Service, req.digest, endOf(answer, err))
	return answer, err
}

// endOf returns what the end of a call tells about it.
func endOf(answer endpoint.Answer, err error) quarantine.End {
	const firstServerError = 500
	var unsent *endpoint.NotSentError
	switch {
	case err == nil && answer.Status < firstServerError:
		return quarantine.Answered
	case err != nil && !errors.As(err, &unsent) && dial.ConnectionEnded(err):
		return quarantine.BrokenOff
	}
	return quarantine.Other
}
