// Package statechart reads state charts from JSON files and interprets them.
//
// A chart names its states, the events that each state handles, the guard that
// an edge needs and the actions that it takes. The code that owns a chart
// registers its guards and actions by name and hands each event to
// Machine.Fire, which returns the actions to carry out, in order. A Machine has
// no clock, no goroutine and no I/O.
//
// Load refuses a chart with an unknown field, action, guard or event, a guard or
// action that is declared and never used, an unreachable state, a state that
// neither handles nor ignores a declared event, an edge that is never taken, or
// an edge to a state that does not exist.
package statechart
