package event

import (
	"time"

	"github.com/apex/log"
)

// watchdogEvents lists the event types of this file, numbers 780 to 789: a process that hangs.
var watchdogEvents = []Event{VMStuck{}, VMUnstuck{}, StopOverdue{}}

// VMStuck is emitted when the locks that requests need could not be taken for a while.
type VMStuck struct {
	For time.Duration `log:"for"`
	// Stacks are those of the goroutines, up to a bound.
	Stacks string `log:"stacks"`
}

// Def implements Event.
func (VMStuck) Def() Def {
	return Def{780, "vm_stuck", log.ErrorLevel, "The VM could not take the locks that requests and readiness checks need for the time that for states; it may answer nothing. stacks shows which goroutine holds them."}
}

// VMUnstuck is emitted when the locks could be taken after all.
type VMUnstuck struct {
	After time.Duration `log:"after"`
}

// Def implements Event.
func (VMUnstuck) Def() Def {
	return Def{781, "vm_unstuck", log.WarnLevel, "The VM of event 780 took the locks after all."}
}

// StopOverdue is emitted when a stop has not ended at its planned end.
type StopOverdue struct {
	Stacks string `log:"stacks"`
}

// Def implements Event.
func (StopOverdue) Def() Def {
	return Def{782, "stop_overdue", log.ErrorLevel, "The VM has not ended at the planned end of its stop and will be killed; stacks shows what it waits for, or what occupies its processor."}
}
