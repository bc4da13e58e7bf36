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
	callerKey  = "capacity-key"
	eventStart = "data: "
	readBuffer = 32 << 10
)

// load is a bounded load of streams.
type load struct {
	address string
	// streams in flight at any time.
	streams int
	// tokens of each answer, and the time between two of them.
	tokens   int
	interval time.Duration
	// promptBytes is the length of each prompt.
	promptBytes int
	length      time.Duration
}

// result is what a load got.
type result struct {
	tokens   int64
	requests int64
	failed   int64
	elapsed  time.Duration
	used     usage
}

// run drives the load against the forwarding process and returns what it got
// and what the process used meanwhile.
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
	ctx, cancel := context.WithTimeout(context.Background(), l.length)
	defer cancel()
	var wg sync.WaitGroup
	for range l.streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				r.one(ctx, client, l.address, body)
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
		used:     usage{processor: after.processor - before.processor, resident: after.resident},
	}, nil
}

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

// counters count over all streams.
type counters struct {
	tokens, requests, failed atomic.Int64
}

// one sends one request and reads its answer. An answer that the end of the
// load cuts counts its tokens only.
func (c *counters) one(ctx context.Context, client *http.Client, address string, body []byte) {
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
	whole := c.read(res.Body)
	switch {
	case whole:
		c.requests.Add(1)
	case ctx.Err() == nil:
		c.failed.Add(1)
	}
}

// read counts the tokens of a stream and reports whether it was whole.
func (c *counters) read(r io.Reader) bool {
	buffer := make([]byte, readBuffer)
	var tail [len(eventStart) + len(wire.StreamDone)]byte
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

// keepTail shifts data into tail so that it holds the stream's last bytes.
func keepTail(tail, data []byte) {
	if len(data) >= len(tail) {
		copy(tail, data[len(data)-len(tail):])
		return
	}
	copy(tail, tail[len(data):])
	copy(tail[len(tail)-len(data):], data)
}
