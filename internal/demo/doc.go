// Package demo runs a complete deployment in one process over loopback: a
// stand-in platform, stand-in model engines and plain services, and four entry
// VMs. It runs a sample load of widely differing prompt lengths, prints tables
// of the measured times and then keeps serving until it is interrupted.
package demo
