// Package engine is a small stand-in for an inference engine, for tests and
// experiments. It has continuous batching, chunked prefill by priority, a prefix
// cache in limited memory, memory reservations with owners, delayed load
// reports, model load orders with fencing numbers, and fault injection.
//
// Model simulates the engine in virtual time, without a clock or I/O. Server
// runs a Model behind an OpenAI-compatible HTTP interface, in real or
// accelerated time.
package engine
