package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	callerKey       = "capacity-key"
	dataPrefix      = "data: "
	readBufferBytes = 32 << 10
)

// load is a closed-loop load: a fixed number of concurrent streams, each replaced
// by a new one when it ends, for a fixed duration.
type load struct {
	address string
	// streams is the number of streams in flight.
	streams int
	// tokens is the number of tokens of each answer, and interval the time between
	// two of them; with a zero interval all are sent without a pause.
	tokens   int
	interval time.Duration
	// promptBytes is the length of each prompt, which is rounded down to a
	// multiple of 7.
	promptBytes int
	duration    time.Duration
}

// result holds the counters of a run and the resources that the forwarding process
// used during it. tokens includes those of incomplete answers; requests counts
// complete answers only.
type result struct {
	tokens   int64
	requests int64
	failed   int64
	elapsed  time.Duration
	used     usage
}

// run sends the load to l.address and returns the counters and the resources that
// p used meanwhile.
func (l load) run(p *process) (result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.streams}}
	defer client.CloseIdleConnections()
	body, err := l.body()
	if err != nil {
		return result{}, err
	}
	before, err := p.usage()
	if err != nil {
		return result{}, err
	}
	var r counters
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.duration)
	defer cancel()
	var wg sync.WaitGroup
	for range l.streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				r.send(ctx, client, l.address, body)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := p.usage()
	if err != nil {
		return result{}, err
	}
	return result{
		tokens:   r.tokens.Load(),
		requests: r.requests.Load(),
		failed:   r.failed.Load(),
		elapsed:  elapsed,
		used:     usage{cpuTime: after.cpuTime - before.cpuTime, resident: after.resident},
	}, nil
}

// body returns the JSON body of a completion request.
func (l load) body() ([]byte, error) {
	body, err := json.Marshal(struct {
		wire.CompletionRequest
		User string `json:"user"`
	}{
		wire.CompletionRequest{Model: poolName, Prompt: strings.Repeat("vellum ", l.promptBytes/7), MaxTokens: l.tokens, Stream: true},
		l.interval.String(),
	})
	return body, errors.WithStack(err)
}

// counters are totals over all streams.
type counters struct {
	tokens, requests, failed atomic.Int64
}

// send sends one request and reads its answer. Of an answer that is interrupted by
// the end of the run only the tokens are counted.
func (c *counters) send(ctx context.Context, client *http.Client, address string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathCompletions, bytes.NewReader(body))
	if err != nil {
		c.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Add(1)
		}
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return
	}
	complete := c.read(res.Body)
	switch {
	case complete:
		c.requests.Add(1)
	case ctx.Err() == nil:
		c.failed.Add(1)
	}
}

// read counts the tokens of a stream and reports whether it ended with the end
// marker.
func (c *counters) read(r io.Reader) bool {
	buffer := make([]byte, readBufferBytes)
	var tail [len(dataPrefix) + len(wire.StreamDone)]byte
	for {
		n, err := r.Read(buffer)
		c.tokens.Add(int64(bytes.Count(buffer[:n], []byte(`"text":`))))
		if n > 0 {
			keepTail(tail[:], buffer[:n])
		}
		if err != nil {
			return bytes.Contains(tail[:], []byte(wire.StreamDone))
		}
	}
}

// keepTail shifts data into tail, which then holds the last bytes of the stream.
func keepTail(tail, data []byte) {
	if len(data) >= len(tail) {
		copy(tail, data[len(data)-len(tail):])
		return
	}
	copy(tail, tail[len(data):])
	copy(tail[len(tail)-len(data):], data)
}
