package findings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompare guards against differences that are lost, or reported for equal values.
func TestCompare(t *testing.T) {
	before := json.RawMessage(`{"a":{"x":1,"y":[1,2],"z/~":true},"b":2,"same":{"n":9007199254740993}}`)
	after := json.RawMessage(`{ "same":{"n":9007199254740993}, "a":{"y":[2,1],"x":1,"z/~":false},"c":{"d":1}}`)
	list, err := Compare(before, after)
	require.NoError(t, err)
	lines := make([]string, 0, len(list))
	for _, d := range list {
		lines = append(lines, d.String())
	}
	require.Equal(t, []string{
		"changed: /a/y: [1,2] -> [2,1]",
		"changed: /a/z~1~0: true -> false",
		"removed: /b: 2",
		`added: /c: {"d":1}`,
	}, lines)
	list, err = Compare(before, before)
	require.NoError(t, err)
	require.Equal(t, []Difference{}, list)
}
