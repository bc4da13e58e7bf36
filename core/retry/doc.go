// Package retry decides whether and when a failed attempt is retried.
//
// Each admitted request adds a fraction of a token to a retry budget, and each
// retry takes one token, so that the load on a failing fleet is a bounded
// multiple of its normal load. Delays grow exponentially with full jitter, and
// a retry that could only start after the deadline is not made.
package retry
