// Package heaptest measures the heap for tests of what is kept of bytes that are read.
package heaptest

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two measurements.
const sampleInterval = time.Millisecond

// live returns the size of the heap without garbage, in bytes. What is allocated during the collection
// counts as live until the next one, so that it is left out.
func live() uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	runtime.GC()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	return after.HeapAlloc - min(after.HeapAlloc, allocated)
}

// LivePeak returns the largest size of the live heap, in bytes, while f runs, above that at the
// start.
func LivePeak(f func()) uint64 {
	before := live()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := before
	for {
		peak = max(peak, live())
		select {
		case <-done:
			return peak - before
		case <-time.After(sampleInterval):
		}
	}
}
