package prompt

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Body fields that the VM sets.
const (
	fieldStream    = "stream"
	fieldDelivered = "delivered"
	fieldResume    = "resume"
	fieldMaxTokens = "max_tokens"
)

// FirstBody returns the body of a request's first attempt: the caller's body
// with streaming switched on, and without the fields that only the VM may set.
// If maxTokens is positive, it becomes the maximum length of the answer. All
// other fields are unchanged.
func FirstBody(body []byte, maxTokens int64) ([]byte, error) {
	set := map[string]json.RawMessage{fieldStream: json.RawMessage("true")}
	if maxTokens > 0 {
		set[fieldMaxTokens] = strconv.AppendInt(nil, maxTokens, 10)
	}
	return rewrite(body, set)
}

// rewrite returns the body with the fields in set, and without the reserved
// fields that are not in set.
func rewrite(body []byte, set map[string]json.RawMessage) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	for name := range fields {
		if isReservedField(name) || set[fieldMaxTokens] != nil && strings.EqualFold(name, fieldMaxTokens) {
			delete(fields, name)
		}
	}
	for name, value := range set {
		fields[name] = value
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(fields); err != nil {
		return nil, errors.WithStack(err)
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

// isReservedField reports whether an engine could read the name as one of the
// fields that only the VM may set. The comparison ignores case because some
// JSON decoders do.
func isReservedField(name string) bool {
	return strings.EqualFold(name, fieldStream) ||
		strings.EqualFold(name, fieldDelivered) ||
		strings.EqualFold(name, fieldResume)
}

// resumeBody returns the body of an attempt that starts after the given number
// of delivered tokens. With none delivered, it returns the body unchanged. The
// argument escaped is the text delivered so far, with its JSON escapes.
func resumeBody(body, escaped []byte, delivered int64) ([]byte, error) {
	if delivered == 0 {
		return body, nil
	}
	text := make([]byte, 0, len(escaped)+2)
	text = append(text, '"')
	text = append(text, escaped...)
	text = append(text, '"')
	return rewrite(body, map[string]json.RawMessage{
		fieldStream:    json.RawMessage("true"),
		fieldDelivered: json.RawMessage(strconv.FormatInt(delivered, 10)),
		fieldResume:    text,
	})
}
