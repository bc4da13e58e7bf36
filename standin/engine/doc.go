// Package engine is a small stand-in for a model engine: continuous batching,
// prefill in pieces by priority, a prefix cache in limited memory, memory held
// per owner, load reports with a lag, orders with a fencing number, and faults.
//
// Model is the engine's behaviour in virtual time, without clock or I/O;
// Server runs one behind an OpenAI-compatible HTTP interface in accelerated
// time.
package engine
