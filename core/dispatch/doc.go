// Package dispatch decides which endpoints serve which request, and when. It
// keeps one view of a group of endpoints: the requests that wait, those that
// were placed, and what each endpoint still has to read and write for them.
//
// A Dispatcher is a step machine: requests, answers and changes of the
// endpoints go in with the time, and decisions come out. It reads no clock and
// is not safe for concurrent use. Its state is soft: it can be rebuilt from the
// placements that the entry VMs have in flight.
package dispatch
