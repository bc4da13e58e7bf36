package settings

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// findDuplicate returns the JSON pointer of the first field that occurs twice in
// its object, or an empty string if there is none. JSON decoders accept duplicate
// fields silently. The data must be valid JSON.
func findDuplicate(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return duplicateInValue(dec, nil)
}

// duplicateInValue searches the next value of the decoder, which is at path.
func duplicateInValue(dec *json.Decoder, path []string) string {
	token, err := dec.Token()
	if err != nil {
		return ""
	}
	switch token {
	case json.Delim('{'):
		return duplicateInObject(dec, path)
	case json.Delim('['):
		return duplicateInArray(dec, path)
	}
	return ""
}

// duplicateInObject searches the rest of an object, after its opening brace.
func duplicateInObject(dec *json.Decoder, path []string) string {
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return ""
		}
		name, _ := token.(string)
		fieldPath := slices.Concat(path, []string{name})
		if seen[name] {
			return pointer(fieldPath)
		}
		seen[name] = true
		if found := duplicateInValue(dec, fieldPath); found != "" {
			return found
		}
	}
	_, _ = dec.Token()
	return ""
}

// duplicateInArray searches the rest of an array, after its opening bracket.
func duplicateInArray(dec *json.Decoder, path []string) string {
	for i := 0; dec.More(); i++ {
		fieldPath := slices.Concat(path, []string{strconv.Itoa(i)})
		if found := duplicateInValue(dec, fieldPath); found != "" {
			return found
		}
	}
	_, _ = dec.Token()
	return ""
}
