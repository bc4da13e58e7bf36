// Package orders decides which orders the holder of a lease gives to the
// endpoints of a service, so that they serve the model version, the adapters
// and the role that the configuration declares.
//
// Orders are absolute, carry the lease's fencing number, and are given only
// right after a reading of the endpoint's state. No more than a set share of
// the service's endpoints is out of service at once, and no more loads begin
// than this service's part of the weight store's rate. A new holder reads every
// endpoint before it orders any, and gives no order until those of an earlier
// holder have been acted on or timed out, as endpoints may ignore fencing
// numbers.
//
// The package is pure: a Reconciler takes the time and what was read and
// returns the actions to carry out. The chart order.json has an endpoint's
// states.
package orders
