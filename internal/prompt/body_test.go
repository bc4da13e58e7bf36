package prompt

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/stream"
)

func fieldsOf(t *testing.T, body []byte) map[string]json.RawMessage {
	t.Helper()
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(body, &fields))
	return fields
}

func TestFirstBodyKeepsUnknownFields(t *testing.T) {
	body, err := FirstBody([]byte(`{"model":"m","Delivered":9,"resume":"x","stream":false,"temperature":0.10,"tools":[{"a":"<b>"}]}`), 0)
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","stream":true,"temperature":0.10,"tools":[{"a":"<b>"}]}`, string(body))
	require.Equal(t, "0.10", string(fieldsOf(t, body)["temperature"]))
	require.Contains(t, string(body), `"<b>"`)
}

// TestFirstBodySetsMaxTokens checks that the engine gets the answer length
// limit that the VM assumes if the caller sets none.
func TestFirstBodySetsMaxTokens(t *testing.T) {
	for _, body := range []string{`{"model":"m"}`, `{"model":"m","max_tokens":0}`, `{"model":"m","Max_Tokens":-1}`} {
		got, err := FirstBody([]byte(body), 256)
		require.NoError(t, err)
		require.JSONEq(t, `{"model":"m","stream":true,"max_tokens":256}`, string(got))
	}
}

func TestResumeBodyContainsDeliveredText(t *testing.T) {
	var text stream.Text
	want := ""
	for _, piece := range []string{"ash ", `"spruce" `, "tab\t", "řeka ", `\`} {
		data, err := json.Marshal(map[string]any{"choices": []any{map[string]any{"index": 0, "text": piece}}})
		require.NoError(t, err)
		text.Add(data)
		want += piece
	}
	require.True(t, text.Resumable())
	body, err := resumeBody([]byte(`{"model":"m","stream":true,"stream":true,"seed":7}`), text.Escaped(), 5)
	require.NoError(t, err)
	var got struct {
		Delivered int
		Resume    string
		Seed      int
	}
	require.NoError(t, json.Unmarshal(body, &got))
	require.Equal(t, 5, got.Delivered)
	require.Equal(t, want, got.Resume)
	require.Equal(t, 7, got.Seed)
}
