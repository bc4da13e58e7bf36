// Package lease decides who holds a lease on a set of endpoints. A lease is one
// row of the table service with a fencing number that only grows. The table
// has no clock, so nobody compares clocks with another VM: a holder counts its
// time from the moment at which it sent the write that renewed the lease, and a
// challenger from the moment at which it first saw that write's row.
//
// The holder's own end is earlier than the challenger's by the drift of the
// clocks and by a bound on pauses between a check and what it guards. A pause
// beyond that bound is what fencing numbers are for.
//
// The package is pure: a Lease takes events and the time and returns the
// actions to carry out. The chart lease.json has its states.
package lease
