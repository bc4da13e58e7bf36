// Package coordination gives the requests of all entry VMs one view of the
// endpoints. Each group of endpoints has a holder among the live VMs; the others
// ask it where their requests go and tell it how they fare. Where it doesn't
// answer, a VM places by its own view. What the holder knows is soft: two
// holders at once cost quality, never a promise.
package coordination
