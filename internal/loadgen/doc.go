// Package loadgen drives callers' addresses with a mix of prompts and calls:
// open-loop Poisson arrivals that are planned beforehand from a seed, bounded
// in time, in requests and in requests in flight. It checks that each answer is
// whole and, where an oracle is given, that it is the right one.
package loadgen
