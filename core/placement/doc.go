// Package placement chooses the endpoint of a prompt. An Endpoint holds what one
// VM knows of one endpoint: a ledger of the prefill that waits there, carried
// forward between lagging load reports, its learnt speed, its prefix cache, and
// the attempts under way. For a prompt it gives a View; a Picker takes the view
// with the lowest score: the prompt's own predicted first token plus the weighted
// delay that it puts on prompts of lower priority there.
//
// The package is pure: times and random numbers are passed in.
package placement
