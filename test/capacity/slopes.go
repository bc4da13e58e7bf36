package main

import (
	"fmt"
	"time"
)

const (
	// tokenInterval is the time between two tokens given in the requirements.
	tokenInterval = 27 * time.Millisecond
	// longAnswerTokens makes an answer outlast a measurement.
	longAnswerTokens = 1 << 20
	// burstAnswerTokens and burstStreams are the length of each answer and the
	// number of streams where the source sends without intervals.
	burstAnswerTokens = 2000
	burstStreams      = 8
)

// forwardSlope measures the tokens forwarded per second of processor time, by the
// entry VM and by the plain pass-through.
func forwardSlope(duration time.Duration) error {
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	fmt.Println("\n## Tokens forwarded per second of processor time")
	fmt.Println("| streams | pace | pass-through tokens/core-s | entry VM tokens/core-s | ratio | failed |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, streams := range []int{50, 100, 200, 400} {
		l := load{streams: streams, tokens: longAnswerTokens, interval: tokenInterval, promptBytes: 4000, duration: duration}
		if err := s.forwardPoint(l, "27 ms"); err != nil {
			return err
		}
	}
	l := load{streams: burstStreams, tokens: burstAnswerTokens, promptBytes: 4000, duration: duration}
	return s.forwardPoint(l, "at once")
}

// runBoth runs the load through the pass-through, then through the entry VM.
func (s *system) runBoth(l load) (baseline, entry result, err error) {
	l.address = s.passThrough.address
	if baseline, err = l.run(s.passThrough); err != nil {
		return baseline, entry, err
	}
	l.address = s.entry.address
	entry, err = l.run(s.entry)
	return baseline, entry, err
}

// forwardPoint measures one load and prints a table row.
func (s *system) forwardPoint(l load, pace string) error {
	baseline, entry, err := s.runBoth(l)
	if err != nil {
		return err
	}
	baselineRate := baseline.tokensPerCoreSecond()
	entryRate := entry.tokensPerCoreSecond()
	fmt.Printf("| %d | %s | %.0f | %.0f | %.2f | %d |\n", l.streams, pace, baselineRate, entryRate, entryRate/baselineRate, baseline.failed+entry.failed)
	return nil
}

// tokensPerCoreSecond returns the number of tokens per second of processor time.
func (r result) tokensPerCoreSecond() float64 { return float64(r.tokens) / r.used.cpuTime.Seconds() }

// requestSlope measures the processor time per request with a one-token answer, as a
// function of the prompt length.
func requestSlope(duration time.Duration) error {
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	fmt.Println("\n## Processor time of a request with one token")
	fmt.Println("| prompt KB | requests/s | pass-through µs/request | entry VM µs/request | failed |")
	fmt.Println("|---|---|---|---|---|")
	for _, kb := range []int{4, 40, 400, 4000} {
		baseline, entry, err := s.runBoth(load{streams: 4, tokens: 1, promptBytes: kb << 10, duration: duration})
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.0f | %.0f | %.0f | %d |\n", kb, float64(entry.requests)/entry.elapsed.Seconds(),
			baseline.cpuMicrosPerRequest(), entry.cpuMicrosPerRequest(), baseline.failed+entry.failed)
	}
	return nil
}

// cpuMicrosPerRequest returns the processor time per completed request, in
// microseconds.
func (r result) cpuMicrosPerRequest() float64 {
	return float64(r.used.cpuTime.Microseconds()) / float64(max(1, r.requests))
}

// streamSlope measures the resident memory as a function of the streams in flight.
func streamSlope(duration time.Duration) error {
	fmt.Println("\n## Memory of streams in flight")
	fmt.Println("| streams | prompt KB | entry VM resident MB | cores | failed |")
	fmt.Println("|---|---|---|---|---|")
	for _, streams := range []int{1, 150, 300, 600} {
		if err := streamPoint(streams, duration); err != nil {
			return err
		}
	}
	return nil
}

// streamPoint measures one number of streams and prints a table row. It starts new
// processes, because freed memory is not returned to the operating system immediately.
func streamPoint(streams int, duration time.Duration) error {
	const promptBytes = 40 << 10
	s, err := startSystem()
	if err != nil {
		return err
	}
	defer s.stop()
	l := load{address: s.entry.address, streams: streams, tokens: longAnswerTokens, interval: tokenInterval, promptBytes: promptBytes, duration: duration}
	r, err := l.run(s.entry)
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d | %.1f | %.3f | %d |\n", streams, promptBytes>>10, float64(r.used.resident)/(1<<20),
		r.used.cpuTime.Seconds()/r.elapsed.Seconds(), r.failed)
	return nil
}
