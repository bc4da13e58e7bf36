// Package mirror keeps a local copy of the platform's topics up to date from two
// sources: the platform's store, which a few VMs (the watchers) follow, and the
// other VMs, which all VMs follow that are not watchers or cannot reach the store.
// A row is replaced only by one of a later version, whatever the source.
//
// An observer is told of a change without the lock of the copy, so that it may read the copy.
// Changes reach it in order, and none is applied before it has received the previous one.
package mirror
