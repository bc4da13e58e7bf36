package settings

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// duplicate returns the JSON pointer of the first field that stands twice in
// its object, which decoders take silently; empty if there is none. The text
// must be valid JSON.
func duplicate(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return duplicateIn(dec, nil)
}

// duplicateIn reads one value.
func duplicateIn(dec *json.Decoder, path []string) string {
	token, err := dec.Token()
	if err != nil {
		return ""
	}
	switch token {
	case json.Delim('{'):
		return duplicateField(dec, path)
	case json.Delim('['):
		return duplicateItem(dec, path)
	}
	return ""
}

// duplicateField reads the rest of an object.
func duplicateField(dec *json.Decoder, path []string) string {
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return ""
		}
		name, _ := token.(string)
		at := slices.Concat(path, []string{name})
		if seen[name] {
			return pointer(at)
		}
		seen[name] = true
		if found := duplicateIn(dec, at); found != "" {
			return found
		}
	}
	_, _ = dec.Token()
	return ""
}

// duplicateItem reads the rest of an array.
func duplicateItem(dec *json.Decoder, path []string) string {
	for i := 0; dec.More(); i++ {
		at := slices.Concat(path, []string{strconv.Itoa(i)})
		if found := duplicateIn(dec, at); found != "" {
			return found
		}
	}
	_, _ = dec.Token()
	return ""
}
