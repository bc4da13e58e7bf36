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

// arrival is one event as it reaches the VM.
type arrival struct {
	ID   string
	Data string
	End  bool
}

// assembler is a way to put an answer together.
type assembler interface {
	attempt(n int)
	arrive(a arrival) (deliver, whole, gap bool)
}

type product struct{ *Assembly }

func (p product) attempt(n int) { p.Attempt(n) }

func (p product) arrive(a arrival) (deliver, whole, gap bool) {
	judge := p.Token
	if a.End {
		judge = p.End
	}
	v := judge([]byte(a.ID))
	return v == Deliver, v == Whole, v == Gap
}

// naive takes what comes.
type naive struct{}

func (naive) attempt(int) {}

func (naive) arrive(a arrival) (deliver, whole, gap bool) { return !a.End, a.End, false }

// drawArrivals mixes the events of several attempts, which overlap, with
// duplicates, losses and another request's events.
func drawArrivals(t *rapid.T, request string, attempt, from, length int) []arrival {
	var out []arrival
	for i := from; i <= length; i++ {
		for range rapid.IntRange(0, 2).Draw(t, "others") {
			name := rapid.SampledFrom([]string{"other/1", request + "/" + fmt.Sprint(attempt+1), request + "/" + fmt.Sprint(attempt-1), request + fmt.Sprint(attempt), "", request + "/" + fmt.Sprint(attempt) + "/x"}).Draw(t, "name")
			out = append(out, arrival{ID: fmt.Sprintf("%s/%d", name, i), Data: "foreign", End: rapid.Bool().Draw(t, "end")})
		}
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		if fate == 0 {
			return out
		}
		if fate == 1 {
			continue
		}
		own := arrival{ID: fmt.Sprintf("%s/%d/%d", request, attempt, i), Data: fmt.Sprint(i), End: i == length}
		out = append(out, own)
		if fate == 2 {
			out = append(out, own)
		}
	}
	return out
}

// assemble runs attempts until the answer is whole and returns what the caller
// got.
func assemble(t *rapid.T, a assembler, length int) (got []string, whole bool) {
	for n := 1; n <= 20 && !whole; n++ {
		a.attempt(n)
		for _, e := range drawArrivals(t, "mine", n, len(got), length) {
			deliver, end, gap := a.arrive(e)
			if deliver {
				got = append(got, e.Data)
			}
			whole = whole || end
			if end || gap {
				break
			}
		}
	}
	return got, whole
}

func wrong(got []string, whole bool, length int) string {
	for i, data := range got {
		if data != fmt.Sprint(i) {
			return fmt.Sprintf("token %d is %s", i, data)
		}
	}
	if whole && len(got) != length {
		return fmt.Sprintf("whole after %d of %d tokens", len(got), length)
	}
	return ""
}

func TestAnswerIsTheOracles(t *testing.T) {
	finished := 0
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 12).Draw(t, "length")
		got, whole := assemble(t, product{New("mine")}, length)
		require.Empty(t, wrong(got, whole, length))
		if whole {
			finished++
		}
	})
	require.Positive(t, finished)
}

func TestOracleCatchesNaive(t *testing.T) {
	caught := 0
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		got, whole := assemble(t, naive{}, length)
		if wrong(got, whole, length) != "" {
			caught++
		}
	})
	require.Positive(t, caught)
}

// TestTextEqualsDecoding compares the text of several chunks with the decoded
// one; they are in one frame or not.
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
		require.True(t, text.Whole())
		var got string
		require.NoError(t, json.Unmarshal([]byte(`"`+string(text.Escaped())+`"`), &got))
		require.Equal(t, want, got)
	})
}

// decoded is the string after a passage through JSON, which replaces invalid
// bytes.
func decoded(t require.TestingT, s string) string {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	var out string
	require.NoError(t, json.Unmarshal(data, &out))
	return out
}

func TestTextKnowsWhatItCannotResume(t *testing.T) {
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
		require.True(t, text.Whole())
		require.Equal(t, "aa", string(text.Escaped()))
		text.Add([]byte(chunk))
		require.False(t, text.Whole(), chunk)
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
