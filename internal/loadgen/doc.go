// Package loadgen generates load on the listeners for callers with a mix of
// prompts and calls. Arrivals are open-loop Poisson processes, planned in advance
// from a seed; the duration, the number of requests and the requests in flight
// are bounded. It checks that each answer is complete and, if an oracle is given,
// that it is correct.
package loadgen
