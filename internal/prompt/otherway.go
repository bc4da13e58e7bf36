package prompt

import (
	"maps"
	"time"

	"cornelsaddle.example/cornelsaddle/core/reservation"
)

// otherWay reports whether another endpoint can take a prompt whose endpoint is silent, and charges
// the retry to the budget if so. The argument is the number of tokens that the caller has, negative
// for an answer that can't be resumed. It may be called from any goroutine.
type otherWay func(delivered int64) bool

// otherWay returns the otherWay of the current attempt. An endpoint's silence alone is no reason to
// end an answer: the attempt is given up only for an endpoint that was not tried, and that takes the
// prompt now as far as is known. The retry is charged to the budget then, so that no other request
// takes it before the attempt has ended.
func (a *Answer) otherWay() otherWay {
	tried := maps.Clone(a.tried)
	attempts, crashes, isGroup := a.attempts, a.crashes, len(a.attempt.shares) > 1
	return func(delivered int64) bool {
		left := time.Until(a.req.Deadline)
		if delivered < 0 || !a.Runner.mayRetry(attempts, crashes, left) || a.guard.Withheld(a.req.Service, a.digest) > 0 {
			return false
		}
		except := union(tried, a.suspect())
		if isGroup && !a.otherGroup(except, delivered) || !isGroup && !a.otherEndpoint(except, delivered) {
			return false
		}
		return a.takeRetry(attempts, crashes, left)
	}
}

// otherEndpoint reports whether an endpoint that is not in except takes the prompt and the delivered
// part of its answer.
func (a *Answer) otherEndpoint(except map[string]bool, delivered int64) bool {
	p := a.req.Placement()
	p.Tokens += delivered
	for {
		choice, view := a.fleet.Place(a.req.Snapshot, a.req.Service, except, p)
		if choice.Index < 0 {
			return false
		}
		if a.limits.Wait(a.req.Snapshot.Endpoints[view.ID].Address) == 0 {
			return true
		}
		except = union(except, map[string]bool{view.ID: true})
	}
}

// otherGroup reports whether a group of endpoints that are not in except has the memory for the prompt
// and its answer. It may share members with the group of the current attempt.
func (a *Answer) otherGroup(except map[string]bool, delivered int64) bool {
	views := a.fleet.Views(a.req.Snapshot, a.req.Service, except)
	candidates := make([]reservation.Candidate, 0, len(views))
	for _, v := range views {
		candidates = append(candidates, reservation.Candidate{ID: v.ID, Memory: v.Memory})
	}
	shares, _ := reservation.Plan(a.req.Tokens+a.req.MaxTokens+delivered, candidates)
	return shares != nil
}
