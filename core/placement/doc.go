// Package placement chooses the endpoint of a prompt. An Endpoint is one VM's
// model of an endpoint: a ledger that estimates its prefill backlog between
// delayed load reports, its estimated prefill rate, an index of its prefix cache,
// and this VM's in-flight attempts. Endpoint.View summarises the model for one
// prompt; a Picker chooses the view with the lowest score, which is the prompt's
// own predicted time to first token plus the weighted delay that it adds to
// lower-priority prompts there.
//
// The package does no I/O: times and random numbers are passed in.
package placement
