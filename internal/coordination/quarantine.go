package coordination

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// Withheld implements gateway.Placer.
func (c *Coordinator) Withheld(service string, parts []string) (string, time.Duration) {
	return c.local.Withheld(service, parts)
}

// handleFindings decides on the findings on the services that this VM places for. Only a
// service's holder sees the prompts of all VMs, and so whether a part is in prompts that
// are answered.
func (c *Coordinator) handleFindings(findings []quarantine.Finding) {
	for _, f := range findings {
		if c.holder(f.Service).VM != c.vm {
			continue
		}
		if v, added := c.local.decide(f); added {
			c.logVerdict(v, c.vm)
			c.announce(v)
		}
	}
}

// ApplyVerdict applies a verdict that this VM learns from others.
func (c *Coordinator) ApplyVerdict(v quarantine.Verdict) {
	if c.local.applyVerdict(v) {
		c.logVerdict(v, "")
	}
}

// logVerdict logs a verdict; holder is the VM that decided it, if that is this one.
func (c *Coordinator) logVerdict(v quarantine.Verdict, holder string) {
	if v.Withheld {
		c.log.Emit(event.PartWithheld{Service: v.Service, Part: v.Part, Holder: holder, Verdict: v.Count, For: time.Until(v.Until)})
		return
	}
	c.log.Emit(event.PartReleased{Service: v.Service, Part: v.Part, Holder: holder, Verdict: v.Count})
}
