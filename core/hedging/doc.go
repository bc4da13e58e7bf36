// Package hedging decides when a request whose endpoint hasn't begun to respond is also sent to
// another endpoint. It has no clock, network or randomness of its own.
package hedging
