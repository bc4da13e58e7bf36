// Package reservation decides about memory that is set aside at endpoints.
//
// Plan shares a prompt out over the fewest endpoints that can hold it. Group
// takes the shares one after another, in the order of the endpoints' ids, which
// is the same for all groups: it holds all of them or gives all back, and never
// waits while it holds one, so that two groups can't block each other. Sweep
// decides which of the reservations at an endpoint have no owner any more.
package reservation
