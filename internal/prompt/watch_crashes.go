package prompt

import (
	"strconv"

	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// attemptID identifies the current attempt among those of the VM.
func (a *Answer) attemptID() string { return a.req.ID + "/" + strconv.Itoa(a.attempts) }

// endWatch reports how the current attempt ended, once.
func (a *Answer) endWatch(end quarantine.End) {
	if a.attempt.watched {
		a.attempt.watched = false
		a.guard.Ended(a.attemptID(), a.req.Service, a.digest, end)
	}
}
