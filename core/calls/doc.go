// Package calls decides what an entry VM does with a call that may not be
// repeated. One row per organisation, service and idempotency key is inserted
// under the condition that it is absent before anything is sent; only the
// attempt that the row names sends, once. The package is pure: it is driven by
// events and returns the actions to carry out.
package calls
