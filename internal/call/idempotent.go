package call

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// maxAttempts is the maximum number of endpoints to which an idempotent call is
// sent.
const maxAttempts = 3

// minLimitedRetry is the minimum retry delay of a call that no endpoint takes.
const minLimitedRetry = 500 * time.Millisecond

// Idempotent makes an idempotent call. If an endpoint fails, the call is retried
// at another one within the deadline and the retry budget. A returned error has
// the code NoEndpoint, DeadlineExceeded, ResultTooLarge or EndpointFailed.
func (r *Runner) Idempotent(req Request) (endpoint.Answer, error) {
	addresses := r.addresses(req)
	addresses = addresses[:min(len(addresses), maxAttempts)]
	if len(addresses) == 0 {
		return endpoint.Answer{}, errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service).WithRetryAfter(r.cfg.StoreRetry)
	}
	r.deposit(req.Snapshot.Limits.RetryBudget)
	req = req.identified()
	ran := errcode.RanNo
	var last error
	for i, address := range addresses {
		left := time.Until(req.Deadline)
		if left <= 0 {
			return endpoint.Answer{}, errcode.New(errcode.DeadlineExceeded, "the deadline passed").WithRan(ran)
		}
		if r.takeTurn(address, left) > 0 {
			continue
		}
		if last != nil && !r.withdraw() {
			break
		}
		if err := r.checkWithheld(req); err != nil {
			return endpoint.Answer{}, errcode.From(err).WithRan(ran)
		}
		answer, err := r.do(req, address, left/time.Duration(len(addresses)-i))
		if err == nil {
			return answer, nil
		}
		ran = ranAfter(ran, err)
		last = err
	}
	if last == nil {
		return endpoint.Answer{}, endpointsLimited(req, r.nextTurn(addresses))
	}
	return endpoint.Answer{}, r.failed(last, ran)
}

// ranAfter returns what is known of a call after an attempt that ended with err; ran is what was
// known before.
func ranAfter(ran errcode.Ran, err error) errcode.Ran {
	var large *endpoint.AnswerTooLargeError
	switch {
	case errors.As(err, &large):
		return errcode.RanYes
	case ran == errcode.RanYes || provablyNotRun(err):
		return ran
	}
	return errcode.RanUnknown
}

// failed returns the error of a call whose last attempt ended with err.
func (r *Runner) failed(err error, ran errcode.Ran) *errcode.Error {
	var large *endpoint.AnswerTooLargeError
	if errors.As(err, &large) {
		return errcode.New(errcode.ResultTooLarge, "%v", err)
	}
	return errcode.New(errcode.EndpointFailed, "%v", err).WithRan(ran).WithRetryAfter(r.cfg.StoreRetry)
}

func (r *Runner) deposit(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(share)
}

func (r *Runner) withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw()
}

func (r Request) endpointCall(address string, timeout time.Duration) endpoint.Call {
	return endpoint.Call{
		Address:   address,
		Operation: r.Operation,
		Request:   r.ID,
		Key:       r.Key,
		Body:      r.Body,
		Timeout:   timeout,
	}
}

// takeTurn takes a turn for a call to an endpoint, within the time. It returns zero if the
// call may be sent, and otherwise the time until a turn may be had.
func (r *Runner) takeTurn(address string, within time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return r.limits.Take(ctx, address)
}

// withTurn takes a turn at the first endpoint that gives one, and returns the addresses from
// that one on. If there is none it returns the time until one may give a turn.
func (r *Runner) withTurn(addresses []string, within time.Duration) ([]string, time.Duration) {
	for i, address := range addresses {
		if r.takeTurn(address, within) == 0 {
			return addresses[i:], 0
		}
	}
	return nil, r.nextTurn(addresses)
}

// nextTurn returns the time until one of the endpoints may get a call.
func (r *Runner) nextTurn(addresses []string) time.Duration {
	waits := make([]time.Duration, 0, len(addresses))
	for _, address := range addresses {
		waits = append(waits, r.limits.Wait(address))
	}
	return slices.Min(waits)
}

func endpointsLimited(req Request, wait time.Duration) error {
	return errcode.New(errcode.EndpointsLimited, "the endpoints of %s take no more calls now", req.Service).WithRetryAfter(max(wait, minLimitedRetry))
}

// addresses returns the addresses of the service's endpoints, without those
// that are leaving, in random order: those that may get a call now first.
func (r *Runner) addresses(req Request) []string {
	var list []string
	waits := make(map[string]time.Duration)
	for id, e := range req.Snapshot.Endpoints {
		if e.Service != req.Service || e.Leaving || r.health != nil && r.health.Leaving(id) {
			continue
		}
		list = append(list, e.Address)
		waits[e.Address] = r.limits.Wait(e.Address)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(waits[a], waits[b]) })
	return list
}
