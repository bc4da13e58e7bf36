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
	// controlFactor lengthens the points of an idle VM, whose processor time is
	// small against the clock's tick.
	controlFactor = 3
)

// controlSlope measures what an entry VM without requests spends, by the number
// of endpoints, and the bytes of one load poll.
func controlSlope(length time.Duration) error {
	if err := pollPoint(); err != nil {
		return err
	}
	fmt.Println("\n## An entry VM without requests")
	fmt.Println("| endpoints | share of a core | resident MB | load polls/s |")
	fmt.Println("|---|---|---|---|")
	for _, endpoints := range []int{1, 16, 64, 256} {
		if err := controlPoint(endpoints, controlFactor*length); err != nil {
			return err
		}
	}
	return busyPoint(controlFactor * length)
}

// busyPoint counts the load polls of an entry VM with a node's part of the
// requests at the size to design for.
func busyPoint(length time.Duration) error {
	const (
		endpoints = 64
		streams   = 12
		tokens    = 10
	)
	s, err := startEndpoints(endpoints)
	if err != nil {
		return err
	}
	defer s.stop()
	before, err := s.polls()
	if err != nil {
		return err
	}
	l := load{address: s.entry.address, streams: streams, tokens: tokens, interval: tokenInterval, promptBytes: 4000, length: length}
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

// polls is the number of load polls that the source has answered.
func (s *system) polls() (int64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+s.addresses[0]+pathPolls, pollTimeout)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	n, err := strconv.ParseInt(string(body), 10, 64)
	return n, errors.WithStack(err)
}

func controlPoint(endpoints int, length time.Duration) error {
	s, err := startEndpoints(endpoints)
	if err != nil {
		return err
	}
	defer s.stop()
	before, err := s.entry.usage()
	if err != nil {
		return err
	}
	polled, err := s.polls()
	if err != nil {
		return err
	}
	time.Sleep(length)
	after, err := s.entry.usage()
	if err != nil {
		return err
	}
	polls, err := s.polls()
	if err != nil {
		return err
	}
	used := after.processor - before.processor
	seconds := length.Seconds()
	fmt.Printf("| %d | %.4f | %.1f | %.1f |\n", endpoints, used.Seconds()/seconds,
		float64(after.resident)/(1<<20), float64(polls-polled)/seconds)
	return nil
}

// pollPoint counts the bytes of load polls on a connection that stays open.
func pollPoint() error {
	l, err := net.Listen("tcp4", loopback)
	if err != nil {
		return errors.WithStack(err)
	}
	counted := &countingListener{Listener: l}
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
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Shutdown() }()
	caller := endpoint.NewCaller()
	defer caller.Close()
	for range pollRounds {
		if _, err := caller.Load(l.Addr().String(), pollTimeout); err != nil {
			return err
		}
	}
	fmt.Printf("\nA load poll takes %d bytes, both directions, without TCP and IP headers.\n", counted.bytes.Load()/pollRounds)
	return nil
}

// countingListener counts the bytes of its connections, both directions.
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

// countingConn counts its bytes.
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
