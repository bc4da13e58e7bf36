package prompt

import (
	"bytes"
	"strconv"
)

// resumeBody asks the engine to go on after the tokens already delivered. The
// first attempt's body passes unchanged.
func resumeBody(body []byte, delivered int64) []byte {
	if delivered == 0 {
		return body
	}
	trimmed := bytes.TrimRight(body, " \t\r\n}")
	out := make([]byte, 0, len(trimmed)+32)
	out = append(out, trimmed...)
	out = append(out, `,"delivered":`...)
	out = strconv.AppendInt(out, delivered, 10)
	return append(out, '}')
}
