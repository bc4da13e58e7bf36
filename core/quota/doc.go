// Package quota divides an organisation's limit among the VMs. Each VM leases a
// share of the limit in a row of the platform's table service. The row's
// invariant is that the shares in force never add up to more than the limit,
// even if VMs join, leave, pause or lose responses. A VM spends its share
// through a Bucket.
//
// The package is pure: times are passed in. Each VM's clock may be off by up to
// Config.ClockError.
package quota
