// Package httpcheck has the rules by which the HTTP clients of this VM, in gateway and in serve,
// judge the response of an endpoint or a store. docs/design/complete-answers.md has the reasons.
//
// # When an answer is complete
//
// An answer has a valid status (Status), and is complete when its body has ended as its framing says:
//
//   - by length: that many bytes have arrived;
//   - by chunks: the last chunk and the trailer have arrived;
//   - by the end of its connection: the connection was ended regularly, and the whole request had
//     been written before that end was read. A write that failed, or is still pending, makes the
//     answer incomplete (UnfinishedRequestError), and so do bytes of the request that the other
//     system has not acknowledged: nobody can have read them. A reset is never an end.
//
// Streams have rules of their own on top. In gateway a stream does not end inside an event, nor, by
// the end of its connection, without one. In serve a stream ends with its end marker. An incomplete
// answer is replaced by another attempt where that is allowed, and otherwise the caller can see that
// it is broken.
//
// An endpoint may answer before it has read the whole request. The rest of the request is written
// while the answer is read, and for a short time after that (lingerTimeout in internal/upstream); an
// answer with a length or chunks is complete without it.
//
// # When an answer is ended
//
// This VM ends an answer that has begun, by closing its connection, only when
//
//   - the caller has disconnected or does not read, or the deadline of the request has expired;
//   - it is not what was asked for: its status is not valid, it belongs to another request, or it
//     does not go on where the stream has been delivered to;
//   - it exceeds a bound of bytes, or its memory has to give way;
//   - another endpoint has begun to answer in its place, or, in serve, takes the prompt in its place;
//   - the path to the endpoint is lost, and the request may be sent again;
//   - the process ends.
//
// The silence of an endpoint alone is no reason.
package httpcheck
