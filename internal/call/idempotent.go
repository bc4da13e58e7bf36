package call

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// maxAttempts is the maximum number of endpoints to which an idempotent call is
// sent.
const maxAttempts = 3

// Idempotent makes an idempotent call. If an endpoint fails, the call is retried
// at another one within the deadline and the retry budget. A returned error has
// the code NoEndpoint, DeadlineExceeded or EndpointFailed.
func (r *Runner) Idempotent(req Request) (endpoint.Answer, error) {
	addresses := r.addresses(req)
	addresses = addresses[:min(len(addresses), maxAttempts)]
	if len(addresses) == 0 {
		return endpoint.Answer{}, errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service).WithRetryAfter(r.cfg.StoreRetry)
	}
	r.deposit(req.Snapshot.Limits.RetryBudget)
	ran := errcode.RanNo
	var last error
	for i, address := range addresses {
		left := time.Until(req.Deadline)
		if left <= 0 {
			return endpoint.Answer{}, errcode.New(errcode.DeadlineExceeded, "the deadline passed").WithRan(ran)
		}
		if i > 0 && !r.withdraw() {
			break
		}
		answer, err := r.service.Do(req.endpointCall(address, left/time.Duration(len(addresses)-i)))
		if err == nil {
			return answer, nil
		}
		if !provablyNotRun(err) {
			ran = errcode.RanUnknown
		}
		last = err
	}
	return endpoint.Answer{}, errcode.New(errcode.EndpointFailed, "%v", last).WithRan(ran).WithRetryAfter(r.cfg.StoreRetry)
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

// addresses returns the addresses of the service's endpoints, without those
// that are leaving, in random order.
func (r *Runner) addresses(req Request) []string {
	var list []string
	for id, e := range req.Snapshot.Endpoints {
		if e.Service != req.Service || e.Leaving || r.health != nil && r.health.Leaving(id) {
			continue
		}
		list = append(list, e.Address)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
