// Package stream assembles a streamed answer from the events of the attempts at
// its request.
//
// Every event of an engine carries an id of the form request/attempt/index.
// Assembly decides from the id alone whether a token is delivered to the caller:
// only tokens of the current attempt are, in order and each once. Late events of
// an earlier attempt, events of another request and duplicates are dropped; a gap
// in the indices fails the attempt. An answer is complete only after an end
// marker that carries the id that the next token would have.
//
// Text collects the text of an answer's chunks without decoding them, so that the
// answer can be resumed at another endpoint.
//
// Scanner finds the ends of events in a stream whose bytes are passed on unchanged.
package stream
