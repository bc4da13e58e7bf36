// Package dispatch decides which endpoints serve which request, and when. It
// holds one view of a group of endpoints: the queued jobs, the placed jobs, and
// the prefill and decode work that each endpoint still has to do for them.
//
// A Dispatcher is a state machine: jobs, their events and changes of the
// endpoints go in with the current time, and decisions come out. It reads no
// clock and is not safe for concurrent use. Its state is soft: it can be rebuilt
// from the placements that the entry VMs have in flight.
package dispatch
