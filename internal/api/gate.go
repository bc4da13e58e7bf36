package api

import (
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// Gate decides whether a prompt is admitted, before it is sent to an endpoint.
type Gate interface {
	// Admit returns an error with a code for a prompt that is refused.
	Admit(req prompt.Request) error
}

// Admission refuses prompts that are predicted to miss their deadline. Done ends
// an admitted request, with the length of its answer in tokens or zero.
type Admission interface {
	Admit(snap *confsync.Snapshot, req fleet.AdmissionRequest) error
	Done(request string, tokens int64)
}

// Limits enforces the organisations' token limits. Take spends the tokens or
// returns an error with a code.
type Limits interface {
	Take(organisation string, o configuration.Organisation, tokens int64) error
}

// PromptGate admits prompts that are predicted to meet their deadline and are
// within their organisation's limit.
type PromptGate struct {
	admission Admission
	limits    Limits
}

// NewPromptGate returns a PromptGate.
func NewPromptGate(admission Admission, limits Limits) *PromptGate {
	return &PromptGate{admission: admission, limits: limits}
}

// Admit implements Gate. The limit is checked last, so that a prompt which can't
// be served in time spends no tokens.
func (g *PromptGate) Admit(req prompt.Request) error {
	err := g.admission.Admit(req.Snapshot, fleet.AdmissionRequest{
		Request:      req.ID,
		Organisation: req.Organisation,
		Service:      req.Service,
		Deadline:     req.Deadline,
		Prompt:       req.Placement(),
	})
	if err != nil {
		return err
	}
	err = g.limits.Take(req.Organisation, req.Snapshot.Organisations[req.Organisation], req.Tokens+req.MaxTokens)
	if err != nil {
		g.admission.Done(req.ID, 0)
	}
	return err
}
