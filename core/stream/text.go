package stream

import "bytes"

// The JSON keys of a chunk's text, for completions and for chats, and of the index
// of its choice.
var (
	textKey    = []byte(`"text"`)
	contentKey = []byte(`"content"`)
	indexKey   = []byte(`"index"`)
)

// nonTextKeys are the keys of chunks that carry content other than text.
var nonTextKeys = [][]byte{
	[]byte(`"tool_calls"`),
	[]byte(`"function_call"`),
	[]byte(`"reasoning_content"`),
}

// Text is the text of an answer so far, with the JSON escapes of its chunks. The
// zero value is an empty text.
//
// Chunks are not decoded. The chunks of one answer usually differ only in their
// text, so the bytes before and after the text of the last chunk are kept as a
// frame, and a chunk with the same frame costs two comparisons.
type Text struct {
	escaped []byte
	prefix  []byte
	suffix  []byte
	nonText bool
}

// Escaped returns the text with its JSON escapes. It is valid until the next Add.
func (t *Text) Escaped() []byte { return t.escaped }

// Resumable reports whether the answer so far consists of the text alone. It returns
// false after a chunk with a tool call, with reasoning, or of a second choice:
// such an answer cannot be resumed.
func (t *Text) Resumable() bool { return !t.nonText }

// Add appends the text of one chunk, given as JSON.
func (t *Text) Add(chunk []byte) {
	if t.nonText {
		return
	}
	if value, ok := t.matchFrame(chunk); ok {
		t.escaped = append(t.escaped, value...)
		return
	}
	from, to, ok := findText(chunk)
	if !ok {
		t.nonText = true
		return
	}
	t.escaped = append(t.escaped, chunk[from:to]...)
	t.prefix = append(t.prefix[:0], chunk[:from]...)
	t.suffix = append(t.suffix[:0], chunk[to:]...)
}

// matchFrame returns the text of a chunk that has the same frame as the last one.
// It reports false if the frame differs, or if there is no last chunk or it had no
// text.
func (t *Text) matchFrame(chunk []byte) ([]byte, bool) {
	if len(t.prefix) == 0 {
		return nil, false
	}
	rest, ok := bytes.CutPrefix(chunk, t.prefix)
	if !ok {
		return nil, false
	}
	end := closingQuote(rest)
	if end < 0 || !bytes.Equal(rest[end:], t.suffix) {
		return nil, false
	}
	return rest[:end], true
}

// findText returns the offsets at which the chunk's text begins and ends; both
// are zero if it has none. It reports false for a chunk that carries anything but
// the text of the first choice. The chunk is not decoded: inside a JSON string
// the quotes of a key would be escaped, so a match is always a real key.
func findText(chunk []byte) (from, to int, ok bool) {
	if !isTextOnly(chunk) {
		return 0, 0, false
	}
	for _, key := range [][]byte{textKey, contentKey} {
		if from, to, ok = findStringValue(chunk, key); ok {
			return from, to, true
		}
	}
	return 0, 0, true
}

// isTextOnly reports whether the chunk belongs to the first choice only and
// carries nothing but text.
func isTextOnly(chunk []byte) bool {
	for _, key := range nonTextKeys {
		if bytes.Contains(chunk, key) {
			return false
		}
	}
	_, rest, ok := bytes.Cut(chunk, indexKey)
	if !ok {
		return true
	}
	value := bytes.TrimLeft(rest, ": \t\r\n")
	return bytes.HasPrefix(value, []byte("0")) && !bytes.Contains(rest, indexKey)
}

// findStringValue returns the offsets at which the first string value of the key
// begins and ends, without its quotes. It reports false if there is none.
func findStringValue(chunk, key []byte) (from, to int, ok bool) {
	for at := 0; ; {
		i := bytes.Index(chunk[at:], key)
		if i < 0 {
			return 0, 0, false
		}
		at += i + len(key)
		rest := skipSpace(chunk[at:])
		if len(rest) == 0 || rest[0] != ':' {
			continue
		}
		rest = skipSpace(rest[1:])
		if len(rest) == 0 || rest[0] != '"' {
			continue
		}
		if end := closingQuote(rest[1:]); end >= 0 {
			from = len(chunk) - len(rest) + 1
			return from, from + end, true
		}
	}
}

func skipSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	return b
}

// closingQuote returns the index of the first quote that is not escaped, or -1.
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
