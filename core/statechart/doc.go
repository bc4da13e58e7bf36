// Package statechart reads state charts from JSON files and interprets them.
//
// A chart names its states, the events that each state handles, the guard that
// an edge needs and the actions that it takes. The code that owns a chart
// registers its guards and actions by name and hands each event to
// Machine.Fire, which returns the actions to carry out, in order. A Machine has
// no clock, no goroutine and no I/O.
//
// Load refuses a chart with an unknown action or guard, an unreachable state,
// a state from which a declared event has no edge, or an edge to a state that
// does not exist.
package statechart
