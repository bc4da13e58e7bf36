// Package membership maintains the list of entry VMs and detects failed ones with
// a SWIM-style gossip protocol. Each VM probes one other VM per interval,
// directly first and then through several relays. A VM that does not answer is
// suspected before it is declared dead, and can refute the suspicion. Updates are
// piggybacked on the probes, so that the cost per VM does not grow with the
// number of VMs.
//
// The package performs no I/O and reads no clock: times and replies are passed in
// as values, and the probes to send are returned as actions.
package membership
