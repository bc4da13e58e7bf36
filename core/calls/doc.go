// Package calls decides what an entry VM does with a call that may not be
// repeated. One row per organisation, service and idempotency key is inserted
// under the condition that it is absent before anything is sent; only the
// attempt that the row names sends, once, in the process that wrote the row.
// The package is pure: a Call takes events and the time and returns the actions
// to carry out. The chart call.json has its states.
//
// A row moves from started to done, not_run or unknown. Only its own attempt
// moves it, but for a row of status not_run: nothing ran under it and nothing
// will, so that the next attempt with the same request may take it over, under
// the condition that its version is still the one that was read.
package calls
