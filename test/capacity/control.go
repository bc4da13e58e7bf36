package main

import (
	"fmt"
	"net"
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
	fmt.Println("| endpoints | share of a core | resident MB |")
	fmt.Println("|---|---|---|")
	for _, endpoints := range []int{1, 16, 64, 256} {
		if err := controlPoint(endpoints, controlFactor*length); err != nil {
			return err
		}
	}
	return nil
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
	time.Sleep(length)
	after, err := s.entry.usage()
	if err != nil {
		return err
	}
	used := after.processor - before.processor
	fmt.Printf("| %d | %.4f | %.1f |\n", endpoints, used.Seconds()/length.Seconds(), float64(after.resident)/(1<<20))
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
