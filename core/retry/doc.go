// Package retry decides whether and when a failed attempt is tried again.
//
// Retries are paid from a budget that grows by a share of a token with each
// admitted request, so that a failing fleet gets a bounded multiple of its
// load. Waits grow exponentially with full jitter, and a retry that could only
// start after the deadline is not made.
package retry
