// Package orders decides which orders the holder of a lease sends to the
// endpoints of a service, so that they serve the configured model version,
// adapters and role.
//
// An order states the complete target state, carries the lease's fencing number
// and is sent only directly after a read of the endpoint's state. The share of
// the service's endpoints that are out of service at the same time is limited, and so is
// the rate of loads, to the service's share of the weight store's rate. A new
// holder reads every endpoint before it sends its first order, and waits until
// orders of a previous holder have been executed or have timed out, because
// endpoints may ignore fencing numbers.
//
// The package is pure: a Reconciler takes the time and the results of reads and
// orders, and returns the actions to perform. The states of an endpoint are
// defined in the chart order.json.
package orders
