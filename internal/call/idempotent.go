package call

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// maxTries bounds the endpoints at which an idempotent call is tried.
const maxTries = 3

// Idempotent makes a call that may be repeated: at another endpoint if one
// fails, within the deadline and the retry budget.
func (r *Runner) Idempotent(req Request) (endpoint.Answer, error) {
	addresses := r.addresses(req)
	addresses = addresses[:min(len(addresses), maxTries)]
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
		answer, err := r.service.Do(req.at(address, left/time.Duration(len(addresses)-i)))
		if err == nil {
			return answer, nil
		}
		if !provedNotRun(err) {
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

func (r Request) at(address string, timeout time.Duration) endpoint.Call {
	return endpoint.Call{
		Address:   address,
		Operation: r.Operation,
		Request:   r.ID,
		Key:       r.Key,
		Body:      r.Body,
		Timeout:   timeout,
	}
}

// addresses lists the service's endpoints that take work, in a random order.
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
