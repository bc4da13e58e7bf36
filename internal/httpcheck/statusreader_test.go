package httpcheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStatusIsReadFromPieces guards against a status that is not valid passing because its bytes arrive
// in pieces, or a line of a header or a body being taken for a status line.
func TestStatusIsReadFromPieces(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\nX: HTTP/1.1 000\r\n\r\nHTTP/1.1 103\n\n"
	for response, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000\r\n\r\n": true,
		"HTTP/1.1 600 X\r\n":                          true,
		"HTTP/1.1 1000 X\r\n":                         true, // no status line; the client reports it
		"HTTP/1.1 2x0 X\r\n":                          true,
		"x\r\nHTTP/1.1 000\r\n":                       true,
		"HTTP/1.1 000 X\r\n":                          false,
		"HTTP/1.1 000\n":                              false,
		"\r\n\r\nHTTP/1.1   000 X\r\n":                false,
		"HTTP/1.1 099 X\r\n":                          false,
		"HTTP/1.1 101 X\r\n":                          false,
	} {
		for _, all := range []string{response, interim + response} {
			for size := 1; size <= len(all); size++ {
				var r statusReader
				var err error
				for from := 0; from < len(all) && err == nil; from += size {
					err = r.read([]byte(all[from:min(from+size, len(all))]))
				}
				require.Equal(t, valid, err == nil, "%q in pieces of %d bytes", all, size)
			}
		}
	}
}
