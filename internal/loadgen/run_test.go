package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is the fault that the fake server injects into its answers.
type fault string

const (
	faultNone      fault = "none"
	faultTruncated fault = "cut"
	faultWrong     fault = "wrong"
	faultRefused   fault = "code"
	faultMidStream fault = "failure in mid-stream"
	faultGarbled   fault = "garbled"
)

// answer is the oracle for the fake server's answers.
func answer(prompt string, tokens int64) string {
	return fmt.Sprintf("%d tokens for %d bytes", tokens, len(prompt))
}

func fakeServer(t *testing.T, f fault) string {
	t.Helper()
	var calls atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		var req wire.CompletionRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		writeCompletion(w, f, answer(req.Prompt, int64(req.MaxTokens)), req.Stream)
	})
	mux.HandleFunc("/v1/services/", func(w http.ResponseWriter, _ *http.Request) {
		n := int64(1)
		if f == faultWrong {
			n = calls.Add(1)
		}
		fmt.Fprintf(w, `{"effect":%d}`, n)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func writeCompletion(w http.ResponseWriter, f fault, text string, stream bool) {
	switch f {
	case faultRefused:
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"no_endpoint"}}`)
		return
	case faultWrong:
		text += "?"
	case faultGarbled:
		fmt.Fprint(w, "data: {\n\n")
		return
	}
	chunk, _ := json.Marshal(wire.Chunk{Choices: []wire.ChunkChoice{{Text: text}}})
	if !stream {
		_, _ = w.Write(chunk)
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", chunk)
	switch f {
	case faultTruncated:
	case faultMidStream:
		fmt.Fprint(w, "data: {\"error\":{\"code\":\"stream_cut\"}}\n\n")
	default:
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func runOnce(t *testing.T, f fault, m Mix) Result {
	t.Helper()
	address := fakeServer(t, f)
	var last Progress
	r, err := Run(context.Background(), m, Options{
		Addresses: []string{address, address},
		Oracle:    answer,
		Progress:  func(p Progress) { last = p },
	})
	require.NoError(t, err)
	require.Equal(t, r.Planned, r.Totals.Requests)
	require.Equal(t, Progress{r.Planned, r.Planned, r.Planned}, last)
	return r
}

func smallMix(whole bool) Mix {
	m := testMix()
	m.DurationMs = 200
	m.MaxRequests = 40
	m.Calls = nil
	m.Prompts = m.Prompts[:1]
	m.Prompts[0].Unstreamed = whole
	return m
}

func TestStreamedAnswersAreClassified(t *testing.T) {
	for f, count := range map[fault]func(Counts) int{
		faultNone:      func(c Counts) int { return c.Complete },
		faultTruncated: func(c Counts) int { return c.Broken },
		faultWrong:     func(c Counts) int { return c.Wrong },
		faultRefused:   func(c Counts) int { return c.Failed },
		faultMidStream: func(c Counts) int { return c.Failed },
		faultGarbled:   func(c Counts) int { return c.Broken },
	} {
		t.Run(string(f), func(t *testing.T) {
			r := runOnce(t, f, smallMix(false))
			require.Equal(t, r.Totals.Requests, count(r.Totals))
			require.Equal(t, r.Totals, r.Class("short").Counts)
			require.Equal(t, f != faultTruncated && f != faultWrong && f != faultGarbled, r.AnswersValid())
		})
	}
}

func TestUnstreamedAnswersAreClassified(t *testing.T) {
	r := runOnce(t, faultNone, smallMix(true))
	require.Equal(t, r.Totals.Requests, r.Totals.Complete)
	r = runOnce(t, faultWrong, smallMix(true))
	require.Equal(t, r.Totals.Requests, r.Totals.Wrong)
}

func TestRepeatedCallMustGetTheSameAnswer(t *testing.T) {
	m := testMix()
	m.Prompts = nil
	m.MaxRequests = 40
	m.Calls[0].Repeat = 1
	r := runOnce(t, faultNone, m)
	require.Equal(t, r.Totals.Requests, r.Totals.Complete)
	r = runOnce(t, faultWrong, m)
	require.Equal(t, r.Totals.Requests, r.Totals.Wrong)
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	release := make(chan struct{})
	var releaseOnce sync.Once
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		writeCompletion(w, faultRefused, "", true)
	}))
	defer s.Close()
	m := smallMix(false)
	m.MaxInFlight = 3
	r, err := Run(context.Background(), m, Options{
		Addresses: []string{strings.TrimPrefix(s.URL, "http://")},
		Progress: func(p Progress) {
			if p.Sent == p.Planned {
				releaseOnce.Do(func() { close(release) })
			}
		},
	})
	require.NoError(t, err)
	require.Equal(t, 3, r.Totals.Failed)
	require.Equal(t, r.Planned-3, r.Totals.Skipped)
}

func TestCancelEndsRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := Run(ctx, testMix(), Options{Addresses: []string{fakeServer(t, faultNone)}})
	require.NoError(t, err)
	require.Zero(t, r.Totals.Requests)
}
