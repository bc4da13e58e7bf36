package stream

import "bytes"

// The keys of a chunk that hold its text, for completions and for chats.
var (
	textKey    = []byte(`"text"`)
	contentKey = []byte(`"content"`)
	indexKey   = []byte(`"index"`)
)

// notText are the keys of chunks that carry more of an answer than its text.
var notText = [][]byte{
	[]byte(`"tool_calls"`),
	[]byte(`"function_call"`),
	[]byte(`"reasoning_content"`),
}

// Text is an answer's text so far, as it stood in the chunks, with its JSON
// escapes. The zero value is empty.
//
// Chunks are not decoded. The chunks of one answer differ in their text alone,
// so that what stands before and after the text is remembered, and a chunk in
// the same frame costs two comparisons.
type Text struct {
	escaped []byte
	before  []byte
	after   []byte
	broken  bool
}

// Escaped is the text with its JSON escapes, valid until the next Add.
func (t *Text) Escaped() []byte { return t.escaped }

// Whole reports whether the text alone is the answer. It is not after a chunk
// with a tool call, with reasoning, or of a second choice: such an answer can't
// be resumed.
func (t *Text) Whole() bool { return !t.broken }

// Add appends one chunk's text.
func (t *Text) Add(chunk []byte) {
	if t.broken {
		return
	}
	if value, ok := t.framed(chunk); ok {
		t.escaped = append(t.escaped, value...)
		return
	}
	from, to, ok := find(chunk)
	if !ok {
		t.broken = true
		return
	}
	t.escaped = append(t.escaped, chunk[from:to]...)
	t.before = append(t.before[:0], chunk[:from]...)
	t.after = append(t.after[:0], chunk[to:]...)
}

// framed returns the text of a chunk in the same frame as the last one.
func (t *Text) framed(chunk []byte) ([]byte, bool) {
	if len(t.before) == 0 {
		return nil, false
	}
	rest, ok := bytes.CutPrefix(chunk, t.before)
	if !ok {
		return nil, false
	}
	end := closingQuote(rest)
	if end < 0 || !bytes.Equal(rest[end:], t.after) {
		return nil, false
	}
	return rest[:end], true
}

// find returns where the chunk's text begins and ends; both are zero where it
// has none. It reports false for a chunk that is more than one choice's text.
// The chunk is not decoded: inside a JSON string the quotes of a key would be
// escaped, so a key found is a key.
func find(chunk []byte) (from, to int, ok bool) {
	if !onlyText(chunk) {
		return 0, 0, false
	}
	for _, key := range [][]byte{textKey, contentKey} {
		if from, to, ok = stringAfter(chunk, key); ok {
			return from, to, true
		}
	}
	return 0, 0, true
}

// onlyText reports whether the chunk belongs to the first choice, and to no
// other, and has nothing but text.
func onlyText(chunk []byte) bool {
	for _, key := range notText {
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

// stringAfter is where the inside of the first string that is the key's value
// begins and ends.
func stringAfter(chunk, key []byte) (from, to int, ok bool) {
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
