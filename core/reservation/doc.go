// Package reservation has the decisions on KV memory that is reserved at
// endpoints.
//
// Plan divides a prompt's memory among the fewest endpoints that can hold it. Group
// reserves the shares one after another, in the order of the endpoints' IDs, which
// is the same for all groups. A group ends up with all its shares or frees them all,
// and never waits while it holds one, so groups cannot deadlock. Sweep lists the
// reservations at an endpoint whose owner no longer exists.
package reservation
