package upstream

import "net/http"

// Framing tells how the end of a response's body is marked.
type Framing string

// The framings of a body.
const (
	// ByLength bodies have the length that the header states.
	ByLength Framing = "length"
	// ByChunks bodies end with an empty chunk.
	ByChunks Framing = "chunks"
	// ByClose bodies end with the connection. A body that was cut off by a regular
	// close, once the request was written, can't be told from a complete one (package
	// httpcheck has the rule).
	ByClose Framing = "close"
)

// framingOf returns the framing of a response.
func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return ByChunks
	case r.ContentLength >= 0:
		return ByLength
	}
	return ByClose
}
