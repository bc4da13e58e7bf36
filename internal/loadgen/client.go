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

// maxLineBytes is the longest line of a stream that is read.
const maxLineBytes = 4 << 20

// codeNone stands for a failure without a typed body.
const codeNone = "untyped"

// end says how a request ended.
type end int

const (
	endBroken end = iota
	endWhole
	endFailed
	endWrong
	endSkipped
)

// outcome is what came of one request.
type outcome struct {
	end        end
	code       string
	firstToken time.Duration
	between    []time.Duration
	total      time.Duration
}

// Oracle gives the right answer to a prompt.
type Oracle func(prompt string, tokens int64) string

// client sends requests.
type client struct {
	http   *http.Client
	oracle Oracle
}

// failureBody is the shape of every typed failure.
type failureBody struct {
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// prompt sends a prompt and reads its answer.
func (c *client) prompt(ctx context.Context, address string, it *item) outcome {
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
		Stream:    !p.Whole,
	})
	if err != nil {
		return outcome{}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(p.TimeoutMs)+graceTimeout)
	defer cancel()
	start := time.Now()
	res, err := c.post(ctx, address+wire.PathCompletions, it, p.TimeoutMs, body, "")
	if err != nil {
		return outcome{}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return failed(res.Body)
	}
	want := ""
	if c.oracle != nil {
		want = c.oracle(text, answer)
	}
	if p.Whole {
		return readWhole(res.Body, start, want)
	}
	return readStream(res.Body, start, want)
}

// post sends one request.
func (c *client) post(ctx context.Context, url string, it *item, timeoutMs int64, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+it.organisation.Key)
	req.Header.Set(wire.HeaderTimeoutMs, strconv.FormatInt(timeout(timeoutMs).Milliseconds(), 10))
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	return c.http.Do(req)
}

func timeout(ms int64) time.Duration {
	if ms == 0 {
		ms = defaultTimeoutMs
	}
	return time.Duration(ms) * time.Millisecond
}

// failed reads a typed failure.
func failed(r io.Reader) outcome {
	var f failureBody
	if json.NewDecoder(r).Decode(&f) != nil || f.Error == nil || f.Error.Code == "" {
		return outcome{end: endFailed, code: codeNone}
	}
	return outcome{end: endFailed, code: f.Error.Code}
}

// readStream reads server-sent events up to the end marker.
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
		if code, ok := eventFailure(data); ok {
			o.end = endFailed
			o.code = code
			return o
		}
		if !appendText(&text, data) {
			return o
		}
		o.token(now, start, last)
		last = now
	}
	return o
}

// token notes the time of one token.
func (o *outcome) token(now, start, last time.Time) {
	if o.firstToken == 0 {
		o.firstToken = now.Sub(start)
		return
	}
	o.between = append(o.between, now.Sub(last))
}

// finish judges an answer that came to its end.
func (o *outcome) finish(total time.Duration, text, want string) outcome {
	o.total = total
	o.end = endWhole
	if want != "" && text != want {
		o.end = endWrong
	}
	return *o
}

func eventFailure(data []byte) (string, bool) {
	if !bytes.HasPrefix(data, []byte(`{"error"`)) {
		return "", false
	}
	return failed(bytes.NewReader(data)).code, true
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

// readWhole reads an answer in one body.
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

// call sends a call and, where it is to be repeated, the same once more
// through the next address.
func (c *client) call(ctx context.Context, address, next string, it *item) outcome {
	o, first := c.callOnce(ctx, address, it)
	if o.end != endWhole || !it.repeat {
		return o
	}
	again, second := c.callOnce(ctx, next, it)
	if again.end == endWhole && !bytes.Equal(first, second) {
		o.end = endWrong
	}
	return o
}

func (c *client) callOnce(ctx context.Context, address string, it *item) (outcome, []byte) {
	key := ""
	if it.calls.Keyed {
		key = it.idempotencyKey()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(it.calls.TimeoutMs)+graceTimeout)
	defer cancel()
	start := time.Now()
	url := address + "/v1/services/" + it.calls.Service + "/" + it.calls.Operation
	res, err := c.post(ctx, url, it, it.calls.TimeoutMs, []byte("{}"), key)
	if err != nil {
		return outcome{}, nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return failed(res.Body), nil
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{}, nil
	}
	return outcome{end: endWhole, total: time.Since(start)}, data
}
