package stream

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20260104")
	_ = flag.Set("rapid.nofailfile", "true")
}

// event is an event as the VM receives it.
type event struct {
	ID   string
	Data string
	End  bool
}

// assembler is an implementation that assembles an answer.
type assembler interface {
	attempt(n int)
	receive(e event) (deliver, complete, gap bool)
}

type assembly struct{ *Assembly }

func (a assembly) attempt(n int) { a.Attempt(n) }

func (a assembly) receive(e event) (deliver, complete, gap bool) {
	handle := a.Token
	if e.End {
		handle = a.End
	}
	v := handle([]byte(e.ID))
	return v == Deliver, v == Complete, v == Gap
}

// naive accepts every event without looking at its id.
type naive struct{}

func (naive) attempt(int) {}

func (naive) receive(e event) (deliver, complete, gap bool) { return !e.End, e.End, false }

// drawEvents returns the events that the VM receives during one attempt from the
// given token on: with duplicates and losses, and mixed with events of other
// attempts and requests.
func drawEvents(t *rapid.T, request string, attempt, from, length int) []event {
	var out []event
	for i := from; i <= length; i++ {
		for range rapid.IntRange(0, 2).Draw(t, "others") {
			name := rapid.SampledFrom([]string{"other/1", request + "/" + fmt.Sprint(attempt+1), request + "/" + fmt.Sprint(attempt-1), request + fmt.Sprint(attempt), "", request + "/" + fmt.Sprint(attempt) + "/x"}).Draw(t, "name")
			out = append(out, event{ID: fmt.Sprintf("%s/%d", name, i), Data: "foreign", End: rapid.Bool().Draw(t, "end")})
		}
		fault := rapid.IntRange(0, 9).Draw(t, "fault")
		if fault == 0 {
			return out
		}
		if fault == 1 {
			continue
		}
		own := event{ID: fmt.Sprintf("%s/%d/%d", request, attempt, i), Data: fmt.Sprint(i), End: i == length}
		out = append(out, own)
		if fault == 2 {
			out = append(out, own)
		}
	}
	return out
}

// assemble runs up to 20 attempts until the answer is complete. It returns the
// data delivered to the caller.
func assemble(t *rapid.T, a assembler, length int) (got []string, complete bool) {
	for n := 1; n <= 20 && !complete; n++ {
		a.attempt(n)
		for _, e := range drawEvents(t, "mine", n, len(got), length) {
			deliver, end, gap := a.receive(e)
			if deliver {
				got = append(got, e.Data)
			}
			complete = complete || end
			if end || gap {
				break
			}
		}
	}
	return got, complete
}

// oracle describes the first error in the delivered tokens, or returns an empty
// string if there is none.
func oracle(got []string, complete bool, length int) string {
	for i, data := range got {
		if data != fmt.Sprint(i) {
			return fmt.Sprintf("token %d is %s", i, data)
		}
	}
	if complete && len(got) != length {
		return fmt.Sprintf("complete after %d of %d tokens", len(got), length)
	}
	return ""
}

func TestAssemblyPassesOracle(t *testing.T) {
	finished := 0
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 12).Draw(t, "length")
		got, complete := assemble(t, assembly{New("mine")}, length)
		require.Empty(t, oracle(got, complete, length))
		if complete {
			finished++
		}
	})
	require.Positive(t, finished)
}

func TestOracleCatchesNaive(t *testing.T) {
	caught := 0
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		got, complete := assemble(t, naive{}, length)
		if oracle(got, complete, length) != "" {
			caught++
		}
	})
	require.Positive(t, caught)
}

// TestTextEqualsDecoding compares the collected text of several chunks, with the
// same or different frames, with the text that decoding them gives.
func TestTextEqualsDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text Text
		var want string
		for range rapid.IntRange(1, 6).Draw(t, "chunks") {
			piece := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`"text":"x"`, `\"content":`, "\\", "\u2028<&>"})).Draw(t, "text")
			choice := map[string]any{"index": 0, "finish_reason": nil, "logprobs": map[string]any{"content": []int{1}}}
			if rapid.Bool().Draw(t, "chat") {
				choice["delta"] = map[string]any{"role": "assistant", "content": piece}
			} else {
				choice["text"] = piece
			}
			chunk := map[string]any{"id": `"text":"`, "choices": []any{choice}, "usage": nil}
			data, err := json.Marshal(chunk)
			require.NoError(t, err)
			if rapid.Bool().Draw(t, "indent") {
				data, err = json.MarshalIndent(chunk, "", "\t")
				require.NoError(t, err)
			}
			text.Add(data)
			want += decoded(t, piece)
		}
		require.True(t, text.Resumable())
		var got string
		require.NoError(t, json.Unmarshal([]byte(`"`+string(text.Escaped())+`"`), &got))
		require.Equal(t, want, got)
	})
}

// decoded returns the string after encoding to JSON and back, which replaces
// invalid bytes.
func decoded(t require.TestingT, s string) string {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	var out string
	require.NoError(t, json.Unmarshal(data, &out))
	return out
}

func TestTextReportsNonResumableAnswers(t *testing.T) {
	plain := `{"choices":[{"index":0,"text":"a"}]}`
	for _, chunk := range []string{
		`{"choices":[{"index":0,"delta":{"tool_calls":[]}}]}`,
		`{"choices":[{"index":0,"text":"a"},{"index":1,"text":"b"}]}`,
		`{"choices":[{"index":1,"text":"a"}]}`,
		`{"choices":[{"index": 10,"text":"a"}]}`,
		`{"choices":[{"index":0,"delta":{"reasoning_content":"a"}}]}`,
		`{"choices":[{"index":0,"text":"a"}],"more":[{"index":1,"text":"b"}]}`,
	} {
		var text Text
		text.Add([]byte(plain))
		text.Add([]byte(plain))
		require.True(t, text.Resumable())
		require.Equal(t, "aa", string(text.Escaped()))
		text.Add([]byte(chunk))
		require.False(t, text.Resumable(), chunk)
	}
}

func BenchmarkText(b *testing.B) {
	var text Text
	chunk := []byte(`{"id":"6f1c2d9e-8a41-4a53-9f0e-3f8f6f0a7a11","object":"text_completion","model":"scribe-pool","choices":[{"index":0,"text":"3w5e11264sgsf ","finish_reason":null}]}`)
	b.ReportAllocs()
	for range b.N {
		text.Add(chunk)
		text.escaped = text.escaped[:0]
	}
}
