// Package stream puts one answer together from the events of its attempts.
//
// Every event of an engine carries an id, request/attempt/index. Assembly
// decides from the id alone whether a token goes to the caller: only the
// current attempt's, in order and each once. Late events of an earlier attempt,
// events of another request and duplicates are dropped; a gap fails the
// attempt. An answer is whole only after an end marker that carries the id of
// the token that would come next.
//
// Text gathers the text of an answer's chunks without decoding them, so that the
// answer can be resumed elsewhere.
package stream
