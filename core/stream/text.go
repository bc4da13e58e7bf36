package stream

import "bytes"

// The keys of a chunk that hold its text, for completions and for chats.
var (
	textKey    = []byte(`"text"`)
	contentKey = []byte(`"content"`)
	toolCalls  = []byte(`"tool_calls"`)
	choiceKey  = []byte(`"index"`)
)

// AppendText appends the text of one chunk to dst as it stands there, with its
// JSON escapes, and returns the extended slice. It reports false for a chunk
// that is more than one choice's text, such as a tool call: an answer with such
// a chunk can't be resumed from its text. The chunk is not decoded: inside a
// JSON string the quotes of a key would be escaped, so a key found is a key.
func AppendText(dst, chunk []byte) ([]byte, bool) {
	if bytes.Contains(chunk, toolCalls) || bytes.Count(chunk, choiceKey) > 1 {
		return dst, false
	}
	for _, key := range [][]byte{textKey, contentKey} {
		if value, ok := stringAfter(chunk, key); ok {
			return append(dst, value...), true
		}
	}
	return dst, true
}

// stringAfter is the inside of the first string that is the key's value.
func stringAfter(chunk, key []byte) ([]byte, bool) {
	for {
		i := bytes.Index(chunk, key)
		if i < 0 {
			return nil, false
		}
		chunk = chunk[i+len(key):]
		rest := skipSpace(chunk)
		if len(rest) == 0 || rest[0] != ':' {
			continue
		}
		rest = skipSpace(rest[1:])
		if len(rest) == 0 || rest[0] != '"' {
			continue
		}
		if end := closingQuote(rest[1:]); end >= 0 {
			return rest[1 : 1+end], true
		}
	}
}

func skipSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	return b
}

// closingQuote is the index of the first quote that is not escaped.
func closingQuote(b []byte) int {
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}
