package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// maxLineBytes is the maximum length of a line of a stream; an answer with a
// longer line counts as broken.
const maxLineBytes = 4 << 20

// codeUntyped is the code counted for an error response without a typed body.
const codeUntyped = "untyped"

// status is how a request ended; Counts describes the values.
type status int

const (
	statusBroken status = iota
	statusComplete
	statusFailed
	statusWrong
	statusSkipped
)

// outcome is the result of one request with its measured times. The zero value
// is a broken answer.
type outcome struct {
	status     status
	code       string
	firstToken time.Duration
	between    []time.Duration
	total      time.Duration
}

// Oracle returns the correct answer of the given length to a prompt.
type Oracle func(prompt string, tokens int64) string

// client sends requests and classifies their answers.
type client struct {
	http   *http.Client
	oracle Oracle
}

// failureBody is the body of a typed failure.
type failureBody struct {
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// prompt sends a prompt and reads and checks its answer.
func (c *client) prompt(ctx context.Context, address string, it *plannedRequest) outcome {
	p := it.prompts
	answer := p.AnswerTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	text := it.text()
	body, err := json.Marshal(wire.CompletionRequest{
		Model:     p.Model,
		Prompt:    text,
		MaxTokens: int(answer),
		Stream:    !p.Unstreamed,
	})
	if err != nil {
		return outcome{}
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOrDefault(p.TimeoutMs)+graceTimeout)
	defer cancel()
	start := time.Now()
	res, err := c.post(ctx, address+wire.PathCompletions, it, p.TimeoutMs, body, "")
	if err != nil {
		return outcome{}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readFailure(res.Body)
	}
	want := ""
	if c.oracle != nil {
		want = c.oracle(text, answer)
	}
	if p.Unstreamed {
		return readWhole(res.Body, start, want)
	}
	return readStream(res.Body, start, want)
}

// post sends one request, with the idempotency key if it is not empty.
func (c *client) post(ctx context.Context, url string, it *plannedRequest, timeoutMs int64, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+it.organisation.Key)
	req.Header.Set(wire.HeaderTimeoutMs, strconv.FormatInt(timeoutOrDefault(timeoutMs).Milliseconds(), 10))
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	return c.http.Do(req)
}

func timeoutOrDefault(ms int64) time.Duration {
	if ms == 0 {
		ms = defaultTimeoutMs
	}
	return time.Duration(ms) * time.Millisecond
}

// readFailure reads the code of a typed failure, or codeUntyped if there is
// none.
func readFailure(r io.Reader) outcome {
	var f failureBody
	if json.NewDecoder(r).Decode(&f) != nil || f.Error == nil || f.Error.Code == "" {
		return outcome{status: statusFailed, code: codeUntyped}
	}
	return outcome{status: statusFailed, code: f.Error.Code}
}

// readStream reads server-sent events up to the end marker. A stream that ends
// without it is broken.
func readStream(r io.Reader, start time.Time, want string) outcome {
	var o outcome
	var text strings.Builder
	last := start
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		now := time.Now()
		if string(data) == wire.StreamDone {
			return o.finish(now.Sub(start), text.String(), want)
		}
		if code, ok := parseStreamFailure(data); ok {
			o.status = statusFailed
			o.code = code
			return o
		}
		if !appendText(&text, data) {
			return o
		}
		o.recordToken(now, start, last)
		last = now
	}
	return o
}

// recordToken records the time to first token, or the time since the last token.
func (o *outcome) recordToken(now, start, last time.Time) {
	if o.firstToken == 0 {
		o.firstToken = now.Sub(start)
		return
	}
	o.between = append(o.between, now.Sub(last))
}

// finish classifies a complete answer; an empty want accepts any text.
func (o *outcome) finish(total time.Duration, text, want string) outcome {
	o.total = total
	o.status = statusComplete
	if want != "" && text != want {
		o.status = statusWrong
	}
	return *o
}

func parseStreamFailure(data []byte) (string, bool) {
	if !bytes.HasPrefix(data, []byte(`{"error"`)) {
		return "", false
	}
	return readFailure(bytes.NewReader(data)).code, true
}

func appendText(text *strings.Builder, data []byte) bool {
	var chunk wire.Chunk
	if json.Unmarshal(data, &chunk) != nil {
		return false
	}
	for _, c := range chunk.Choices {
		text.WriteString(c.Text)
	}
	return true
}

// readWhole reads an answer that is not streamed.
func readWhole(r io.Reader, start time.Time, want string) outcome {
	data, err := io.ReadAll(r)
	if err != nil {
		return outcome{}
	}
	var text strings.Builder
	if !appendText(&text, data) {
		return outcome{}
	}
	var o outcome
	return o.finish(time.Since(start), text.String(), want)
}

// call sends a call and, if it is to be repeated, sends it once more through the
// next address. Two differing answers are wrong.
func (c *client) call(ctx context.Context, address, next string, it *plannedRequest) outcome {
	o, first := c.callOnce(ctx, address, it)
	if o.status != statusComplete || !it.repeat {
		return o
	}
	repeated, second := c.callOnce(ctx, next, it)
	if repeated.status == statusComplete && !bytes.Equal(first, second) {
		o.status = statusWrong
	}
	return o
}

func (c *client) callOnce(ctx context.Context, address string, it *plannedRequest) (outcome, []byte) {
	key := ""
	if it.calls.Keyed {
		key = it.idempotencyKey()
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOrDefault(it.calls.TimeoutMs)+graceTimeout)
	defer cancel()
	start := time.Now()
	url := address + "/v1/services/" + it.calls.Service + "/" + it.calls.Operation
	res, err := c.post(ctx, url, it, it.calls.TimeoutMs, []byte("{}"), key)
	if err != nil {
		return outcome{}, nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return readFailure(res.Body), nil
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{}, nil
	}
	return outcome{status: statusComplete, total: time.Since(start)}, data
}
