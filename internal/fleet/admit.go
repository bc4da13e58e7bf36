package fleet

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/admission"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// AdmissionRequest is a prompt for admission.
type AdmissionRequest struct {
	// Request is the request's ID, which is also the attempt of SentPrompt and
	// FirstToken.
	Request      string
	Organisation string
	Service      string
	Deadline     time.Time
	Prompt       placement.Prompt
}

// admittedPrompt is an admitted prompt whose request has not ended.
type admittedPrompt struct {
	service  string
	at       time.Time
	deadline time.Time
	// predicted is the predicted time to first token at admission; zero once the
	// measured time has been passed to the controller.
	predicted time.Duration
	tokens    int64
	maxTokens int64
	priority  wire.Priority
	// sent is set when the prompt has been sent to an endpoint.
	sent bool
}

// Admit admits the prompt or returns an errcode error with a retry time:
// DeadlineUnreachable when no endpoint is predicted to complete it before its deadline,
// QuotaExceeded when its organisation is over its share of a busy service. It returns
// nil, without recording the prompt, when there is no endpoint to predict for.
func (f *Fleet) Admit(snap *confsync.Snapshot, a AdmissionRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	predicted, ok := f.predict(now, snap, &a)
	if !ok {
		// Placement returns separate errors for a service without endpoints and
		// for a prompt that is too long for them.
		return nil
	}
	d := f.controller(a.Service).Decide(now, admission.Request{
		Organisation: a.Organisation,
		Weight:       max(snap.Organisations[a.Organisation].Weight, minWeight),
		Tokens:       a.Prompt.Tokens + a.Prompt.MaxTokens,
		Remaining:    a.Deadline.Sub(now),
		Priority:     a.Prompt.Priority,
	}, predicted)
	if !d.Admitted {
		return refusal(d, a)
	}
	f.admitted[a.Request] = admittedPrompt{
		service:   a.Service,
		at:        now,
		deadline:  a.Deadline,
		predicted: predicted.FirstToken,
		tokens:    a.Prompt.Tokens,
		maxTokens: a.Prompt.MaxTokens,
		priority:  a.Prompt.Priority,
	}
	return nil
}

// minWeight is the smallest weight of an organisation, also used for one without a
// weight.
const minWeight = 0.01

func refusal(d admission.Decision, a AdmissionRequest) error {
	if d.OverShare {
		return errcode.New(errcode.QuotaExceeded, "%s is busy, and the organisation is beyond its share", a.Service).WithRetryAfter(d.RetryAfter)
	}
	return errcode.New(errcode.DeadlineUnreachable, "no endpoint of %s is predicted to answer in time", a.Service).WithRetryAfter(d.RetryAfter)
}

// predict returns the latency prediction for the endpoint that placement chooses. It
// returns false when the service has no endpoint that takes work. The caller holds
// f.mu.
func (f *Fleet) predict(now time.Time, snap *confsync.Snapshot, a *AdmissionRequest) (admission.Prediction, bool) {
	p := a.Prompt
	f.views = f.appendViews(f.views[:0], now, snap, a.Service, nil, &p)
	choice := f.picker.Pick(&p, f.views)
	if choice.Index < 0 {
		// No endpoint can hold the prompt alone. A group of endpoints reserves the
		// memory beforehand and its lead computes the prefill, so predict without
		// the memory limit.
		p.Reserved = p.Need()
		choice = f.picker.Pick(&p, f.views)
	}
	if choice.Index < 0 {
		return admission.Prediction{}, false
	}
	predicted := admission.Prediction{FirstToken: choice.FirstToken, DecodeTime: choice.End - choice.FirstToken}
	if p.Priority == wire.PriorityLow {
		predicted.FirstToken += placement.Backlog(f.backlog(now, a.Service), f.views)
	}
	return predicted, true
}

// backlog returns the low-priority prefill of the service, in tokens, that was admitted
// and has not been sent. It removes admitted prompts past their deadline. The caller
// holds f.mu.
func (f *Fleet) backlog(now time.Time, service string) int64 {
	tokens := int64(0)
	for request, a := range f.admitted {
		switch {
		case now.After(a.deadline):
			delete(f.admitted, request)
		case !a.sent && a.priority == wire.PriorityLow && a.service == service:
			tokens += a.tokens
		}
	}
	return tokens
}

// controller returns the admission controller of the service. The caller holds f.mu.
func (f *Fleet) controller(service string) *admission.Controller {
	c := f.controllers[service]
	if c == nil {
		c = admission.NewController(admission.DefaultConfig())
		f.controllers[service] = c
	}
	return c
}

// Done records that the request has ended. tokens is the length of its complete answer,
// or zero if it has none.
func (f *Fleet) Done(request string, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.admitted[request]
	if !ok {
		return
	}
	delete(f.admitted, request)
	if tokens > 0 {
		f.controller(a.service).ObserveAnswer(tokens, a.maxTokens)
	}
}

// observeFirstToken passes the measured time to first token of an admitted request to
// its admission controller, once. The caller holds f.mu.
func (f *Fleet) observeFirstToken(now time.Time, request string) {
	a, ok := f.admitted[request]
	if !ok || a.predicted == 0 {
		return
	}
	f.controller(a.service).ObserveFirstToken(a.priority, a.predicted, now.Sub(a.at))
	a.predicted = 0
	f.admitted[request] = a
}

// markSent records that the request was sent to an endpoint. The caller holds f.mu.
func (f *Fleet) markSent(request string) {
	if a, ok := f.admitted[request]; ok {
		a.sent = true
		f.admitted[request] = a
	}
}
