// Package quota divides an organisation's limit among the VMs. Each VM leases a
// share of the limit in a row of the platform's table service; the row's rule is
// that the shares in force never add up to more than the limit, whatever VMs
// come, go, pause or lose answers. A VM spends its share through a Bucket.
//
// The package is pure: times are passed in. Each VM's clock may be off by up to
// Config.ClockError.
package quota
