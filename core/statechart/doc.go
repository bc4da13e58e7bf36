// Package statechart reads state charts from JSON files and interprets them.
//
// A chart declares its states, the events that each state handles, and the guard
// and actions of each edge. The code that uses a chart binds functions to the
// guards by name, passes each event to Machine.Fire and executes the returned
// actions in order. A Machine uses no clock, starts no goroutine and does no I/O.
//
// Load rejects a chart with an unknown field, action, guard or event, a guard or
// action that is declared and never used, an unreachable state, a state that
// neither handles nor ignores a declared event, an edge that can never be taken,
// or an edge to a state that does not exist.
package statechart
