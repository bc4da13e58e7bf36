// Package membership decides which entry VMs live, in the manner of SWIM: each
// VM probes one other at a time, directly and then through a few more, and
// suspects it before it declares it dead; the suspected one refutes. What is
// new rides on the probes, so that the cost of a VM does not grow with the
// number of VMs.
//
// The package is pure: the time and the answers come in as values, and the
// probes to send go out as actions.
package membership
