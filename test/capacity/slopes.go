package main

import (
	"fmt"
	"time"
)

const (
	// tokenInterval is the letter's time between two tokens.
	tokenInterval = 27 * time.Millisecond
	// longAnswer outlasts a measured point.
	longAnswer = 1 << 20
	// burstAnswer is an answer that the source sends at once.
	burstAnswer = 2000
	burstStream = 8
)

// forwardSlope measures the processor time per token passed on, of the entry VM
// and of the plain pass-through.
func forwardSlope(length time.Duration) error {
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	fmt.Println("\n## Tokens passed on a second by one core")
	fmt.Println("| streams | pace | pass-through tokens/core-s | entry VM tokens/core-s | ratio | failed |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, streams := range []int{50, 100, 200, 400} {
		l := load{streams: streams, tokens: longAnswer, interval: tokenInterval, promptBytes: 4000, length: length}
		if err := s.forwardPoint(l, "27 ms"); err != nil {
			return err
		}
	}
	l := load{streams: burstStream, tokens: burstAnswer, promptBytes: 4000, length: length}
	return s.forwardPoint(l, "at once")
}

// both drives the load through the pass-through, then through the entry VM.
func (s *system) both(l load) (base, entry result, err error) {
	l.address = s.passThrough.address
	if base, err = l.run(s.passThrough); err != nil {
		return base, entry, err
	}
	l.address = s.entry.address
	entry, err = l.run(s.entry)
	return base, entry, err
}

func (s *system) forwardPoint(l load, pace string) error {
	base, entry, err := s.both(l)
	if err != nil {
		return err
	}
	baseRate := base.perCoreSecond()
	entryRate := entry.perCoreSecond()
	fmt.Printf("| %d | %s | %.0f | %.0f | %.2f | %d |\n", l.streams, pace, baseRate, entryRate, entryRate/baseRate, base.failed+entry.failed)
	return nil
}

// perCoreSecond is the number of tokens per second of processor time.
func (r result) perCoreSecond() float64 { return float64(r.tokens) / r.used.processor.Seconds() }

// requestSlope measures the processor time of a request by its prompt's length,
// with an answer of one token.
func requestSlope(length time.Duration) error {
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	fmt.Println("\n## Processor time of a request with one token")
	fmt.Println("| prompt KB | requests/s | pass-through µs/request | entry VM µs/request | failed |")
	fmt.Println("|---|---|---|---|---|")
	for _, kb := range []int{4, 40, 400, 4000} {
		base, entry, err := s.both(load{streams: 4, tokens: 1, promptBytes: kb << 10, length: length})
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.0f | %.0f | %.0f | %d |\n", kb, float64(entry.requests)/entry.elapsed.Seconds(),
			base.perRequest(), entry.perRequest(), base.failed+entry.failed)
	}
	return nil
}

// perRequest is the processor time per whole request, in microseconds.
func (r result) perRequest() float64 {
	return float64(r.used.processor.Microseconds()) / float64(max(1, r.requests))
}

// streamSlope measures the memory of streams in flight.
func streamSlope(length time.Duration) error {
	fmt.Println("\n## Memory of streams in flight")
	fmt.Println("| streams | prompt KB | entry VM resident MB | cores | failed |")
	fmt.Println("|---|---|---|---|---|")
	for _, streams := range []int{1, 150, 300, 600} {
		if err := streamPoint(streams, length); err != nil {
			return err
		}
	}
	return nil
}

// streamPoint starts afresh, since memory is not given back at once.
func streamPoint(streams int, length time.Duration) error {
	const promptBytes = 40 << 10
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	l := load{address: s.entry.address, streams: streams, tokens: longAnswer, interval: tokenInterval, promptBytes: promptBytes, length: length}
	r, err := l.run(s.entry)
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d | %.1f | %.3f | %d |\n", streams, promptBytes>>10, float64(r.used.resident)/(1<<20),
		r.used.processor.Seconds()/r.elapsed.Seconds(), r.failed)
	return nil
}
