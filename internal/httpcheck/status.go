package httpcheck

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// InvalidStatusError reports a response whose status is not valid. It is no response to the request,
// which may have run; the connection is closed.
type InvalidStatusError struct{ Status int }

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return "response has the invalid status " + strconv.Itoa(e.Status)
}

// Status checks the status of a response. Those below 100 are not valid, and neither is 101, as no
// request of this VM asks for another protocol: the error is an InvalidStatusError. The other ones
// below 200 are interim responses (IsInterim).
//
// The standard (RFC 9110, section 15) allows 100 to 599, and has clients process a response with an
// invalid status as one with a 5xx. Where the response has a body and an end, that is done: 600 to
// 999 are accepted here, and count as errors of the server wherever 500 to 599 do. Below 100 no end
// is known: some clients take these statuses for interim ones and wait for another response.
func Status(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return errors.WithStack(&InvalidStatusError{status})
	}
	return nil
}

// IsInterim reports whether a valid status is that of an interim response, which another one follows.
func IsInterim(status int) bool { return status < http.StatusOK }
