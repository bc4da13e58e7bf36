package fleet

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/admission"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// Ask is a prompt that asks to be admitted.
type Ask struct {
	// Request names it; SentPrompt is told of it under the same name.
	Request      string
	Organisation string
	Service      string
	Deadline     time.Time
	Prompt       placement.Prompt
}

// admitted is a prompt that was admitted and has no first token yet.
type admitted struct {
	service  string
	at       time.Time
	deadline time.Time
	// predicted is the time to the first token that it was admitted by.
	predicted time.Duration
	tokens    int64
	maxTokens int64
	priority  wire.Priority
	// sent says that it waits at an endpoint, and not at this VM.
	sent bool
}

// Admit takes the prompt on, or refuses it at once: where no endpoint is
// predicted to end it before its deadline, and where its organisation is beyond
// its share of a service that turns prompts away.
func (f *Fleet) Admit(snap *confsync.Snapshot, a Ask) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	predicted, ok := f.predict(now, snap, &a)
	if !ok {
		// Placement tells apart a service without endpoints and a prompt that
		// is too long for them.
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
	f.admitted[a.Request] = admitted{
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

// minWeight stands for the weight of an organisation that has none.
const minWeight = 0.01

func refusal(d admission.Decision, a Ask) error {
	if d.OverShare {
		return errcode.New(errcode.QuotaExceeded, "%s is busy, and the organisation is beyond its share", a.Service).WithRetryAfter(d.RetryAfter)
	}
	return errcode.New(errcode.DeadlineUnreachable, "no endpoint of %s is predicted to answer in time", a.Service).WithRetryAfter(d.RetryAfter)
}

// predict says what the best endpoint promises; false where none can hold the
// prompt and no group of them is in view. The lock is held.
func (f *Fleet) predict(now time.Time, snap *confsync.Snapshot, a *Ask) (admission.Prediction, bool) {
	p := a.Prompt
	f.views = f.appendViews(f.views[:0], now, snap, a.Service, nil, &p)
	choice := f.picker.Pick(&p, f.views)
	if choice.Index < 0 {
		// A group reserves its memory beforehand; its lead computes.
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

// backlog is the prefill of low priority, in tokens, that waits at this VM. The
// lock is held.
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

// controller returns the service's admission. The lock is held.
func (f *Fleet) controller(service string) *admission.Controller {
	c := f.controllers[service]
	if c == nil {
		c = admission.NewController(admission.DefaultConfig())
		f.controllers[service] = c
	}
	return c
}

// Done forgets the request, whatever became of it: tokens is the length of its
// whole answer, zero where it has none.
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

// judged teaches admission what became of its prediction. The lock is held.
func (f *Fleet) judged(now time.Time, request string) {
	a, ok := f.admitted[request]
	if !ok || a.predicted == 0 {
		return
	}
	f.controller(a.service).ObserveFirstToken(a.priority, a.predicted, now.Sub(a.at))
	a.predicted = 0
	f.admitted[request] = a
}

// noteSent counts the request as waiting at an endpoint. The lock is held.
func (f *Fleet) noteSent(request string) {
	if a, ok := f.admitted[request]; ok {
		a.sent = true
		f.admitted[request] = a
	}
}
