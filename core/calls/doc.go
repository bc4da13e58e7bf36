// Package calls implements at-most-once execution of non-idempotent calls on an
// entry VM. Before anything is sent, one row per organisation, service and
// idempotency key is inserted under the condition that it is absent. Only the
// attempt named in the row sends the call, once, from the process that wrote the
// row. The package is pure: a Call takes events and the time and returns the
// actions to perform. Its states are defined in the chart call.json.
//
// A row moves from started to done, not_run or unknown. Only the attempt named
// in it changes it, except for a row with the status not_run: that attempt has
// not run and never will, so the next attempt with the same request may take the
// row over, under the condition that its version is still the one that was read.
package calls
