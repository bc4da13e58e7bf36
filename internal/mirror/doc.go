// Package mirror keeps this VM's copy of the platform's topics and keeps it
// fresh from two sources: the platform's store, which a few VMs follow, and the
// other VMs, which the rest follow and which stand in for a store that turns
// this VM away. A row's version only grows, whatever the source.
package mirror
