// Package lease decides who holds a lease on a set of endpoints. A lease is one
// row of the table service with a monotonically increasing fencing number. The
// table has no clock, so clocks of different VMs are never compared: a holder
// counts the lease duration from when it sent the write that renewed the lease,
// and a challenger counts it from when it first saw the row of that write.
//
// The lease ends for the holder before it ends for a challenger. The difference
// covers clock drift and a bounded pause of the process between a check of the
// lease and the operation that the check guards. Longer pauses are covered by
// fencing numbers.
//
// The package is pure: a Lease takes events and the time and returns the
// actions to perform. Its states are defined in the chart lease.json.
package lease
