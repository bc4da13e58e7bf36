package prompt

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// The fields of a body that the VM sets.
const (
	fieldStream    = "stream"
	fieldDelivered = "delivered"
	fieldResume    = "resume"
	fieldMaxTokens = "max_tokens"
)

// FirstBody is the body of a request's first attempt: the caller's, with
// streaming on, with the longest answer that the VM counts on where maxTokens is
// positive, and without the fields that only the VM may set. The other fields
// pass unchanged.
func FirstBody(body []byte, maxTokens int64) ([]byte, error) {
	set := map[string]json.RawMessage{fieldStream: json.RawMessage("true")}
	if maxTokens > 0 {
		set[fieldMaxTokens] = strconv.AppendInt(nil, maxTokens, 10)
	}
	return rewrite(body, set)
}

// rewrite replaces the fields that the VM sets, and drops those that set does
// not have.
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

// ownField reports whether an engine could read the name as one of the VM's
// fields; decoders differ in whether they tell upper case from lower.
func isReservedField(name string) bool {
	return strings.EqualFold(name, fieldStream) ||
		strings.EqualFold(name, fieldDelivered) ||
		strings.EqualFold(name, fieldResume)
}

// resumeBody is the body of an attempt after so many tokens were delivered: the
// first one passes unchanged. The text has its JSON escapes.
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
