// Package reach keeps what a VM knows of its paths to endpoints. Whether an endpoint can be
// reached is a fact of a pair, VM and endpoint: a path that is lost says nothing of the
// endpoint as long as other VMs reach it. The package is pure.
package reach
