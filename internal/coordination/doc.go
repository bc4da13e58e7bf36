// Package coordination places the requests of all entry VMs with one view of the
// endpoints. Each service has a holder among the live VMs; the other VMs submit
// their jobs to it and send it updates on the jobs' progress. If the holder does
// not respond, the next VM in the service's order takes its place, in the end the
// requesting VM itself. The holder has soft state only: two concurrent holders make
// placements worse, but break no guarantee.
package coordination
