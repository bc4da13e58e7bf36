package main

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

const (
	pollRounds  = 1000
	pollTimeout = time.Second
	// controlDurationFactor lengthens the measurements of an idle VM, whose
	// processor time is small compared with the clock tick.
	controlDurationFactor = 3
)

// controlSlope measures the bytes of one load poll, the resource use of an idle
// entry VM as a function of the number of endpoints, and the load polls per second
// of an entry VM under load.
func controlSlope(duration time.Duration) error {
	if err := pollPoint(); err != nil {
		return err
	}
	fmt.Println("\n## An entry VM without requests")
	fmt.Println("| endpoints | share of a core | resident MB | load polls/s |")
	fmt.Println("|---|---|---|---|")
	for _, endpoints := range []int{1, 16, 64, 256} {
		if err := controlPoint(endpoints, controlDurationFactor*duration); err != nil {
			return err
		}
	}
	return loadedPoint(controlDurationFactor * duration)
}

// loadedPoint counts the load polls of an entry VM that receives one node's share
// of the requests at the design size.
func loadedPoint(duration time.Duration) error {
	const (
		endpoints = 64
		streams   = 12
		tokens    = 10
	)
	s, err := startSystemWithEndpoints(endpoints)
	if err != nil {
		return err
	}
	defer s.stop()
	before, err := s.polls()
	if err != nil {
		return err
	}
	l := load{address: s.entry.address, streams: streams, tokens: tokens, interval: tokenInterval, promptBytes: 4000, duration: duration}
	r, err := l.run(s.entry)
	if err != nil {
		return err
	}
	after, err := s.polls()
	if err != nil {
		return err
	}
	seconds := r.elapsed.Seconds()
	fmt.Printf("\nWith %.0f requests/s over %d endpoints: %.1f load polls/s, %d failed.\n",
		float64(r.requests)/seconds, endpoints, float64(after-before)/seconds, r.failed)
	return nil
}

// polls returns the number of load polls that the source has answered.
func (s *system) polls() (int64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+s.addresses[0]+pathPolls, pollTimeout)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	n, err := strconv.ParseInt(string(body), 10, 64)
	return n, errors.WithStack(err)
}

// controlPoint measures an idle entry VM with the given number of endpoints and
// prints a table row.
func controlPoint(endpoints int, duration time.Duration) error {
	s, err := startSystemWithEndpoints(endpoints)
	if err != nil {
		return err
	}
	defer s.stop()
	before, err := s.entry.usage()
	if err != nil {
		return err
	}
	pollsBefore, err := s.polls()
	if err != nil {
		return err
	}
	time.Sleep(duration)
	after, err := s.entry.usage()
	if err != nil {
		return err
	}
	pollsAfter, err := s.polls()
	if err != nil {
		return err
	}
	used := after.cpuTime - before.cpuTime
	seconds := duration.Seconds()
	fmt.Printf("| %d | %.4f | %.1f | %.1f |\n", endpoints, used.Seconds()/seconds,
		float64(after.resident)/(1<<20), float64(pollsAfter-pollsBefore)/seconds)
	return nil
}

// pollPoint measures the bytes of a load poll on a persistent connection.
func pollPoint() error {
	l, err := net.Listen("tcp4", loopback)
	if err != nil {
		return errors.WithStack(err)
	}
	listener := &countingListener{Listener: l}
	server := &fasthttp.Server{NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		httpjson.Write(ctx, fasthttp.StatusOK, wire.LoadReport{
			AtMs:         time.Now().UnixMilli(),
			Incarnation:  "1n2m3o4p5q6r7",
			QueuedTokens: [2]int64{123_456, 1_234_567},
			Running:      64,
			FreeTokens:   123_456,
			TotalTokens:  400_000,
			PrefillRate:  20_000,
		})
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	caller := endpoint.NewCaller()
	defer caller.Close()
	for range pollRounds {
		if _, err := caller.Load(l.Addr().String(), pollTimeout); err != nil {
			return err
		}
	}
	fmt.Printf("\nA load poll takes %d bytes in both directions together, excluding TCP and IP headers.\n", listener.bytes.Load()/pollRounds)
	return nil
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

// countingConn adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
