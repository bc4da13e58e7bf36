package api

import (
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// Gate decides whether a prompt is taken on, before anything is sent.
type Gate interface {
	// Admit returns a typed failure for a prompt that is refused.
	Admit(req prompt.Request) error
}

// Admission refuses prompts that are predicted to miss their deadline.
type Admission interface {
	Admit(snap *confsync.Snapshot, ask fleet.Ask) error
	Done(request string, tokens int64)
}

// Limits spends the organisations' tokens.
type Limits interface {
	Take(organisation string, o configuration.Organisation, tokens int64) error
}

// PromptGate admits what can be served in time and within the organisation's
// limit.
type PromptGate struct {
	admission Admission
	limits    Limits
}

// NewPromptGate returns a PromptGate.
func NewPromptGate(admission Admission, limits Limits) *PromptGate {
	return &PromptGate{admission: admission, limits: limits}
}

// Admit implements Gate. The limit comes last, so that a prompt that can't be
// served in time costs no tokens.
func (g *PromptGate) Admit(req prompt.Request) error {
	err := g.admission.Admit(req.Snapshot, fleet.Ask{
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
