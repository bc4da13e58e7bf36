package metrics

import (
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// Samples of the runtime. The estimates of processor time are brought up to date at the
// end of each garbage collection.
const (
	sampleCollector  = "/cpu/classes/gc/total:cpu-seconds"
	sampleHeap       = "/memory/classes/heap/objects:bytes"
	sampleGoroutines = "/sched/goroutines:goroutines"
)

// RegisterProcess registers gauges of the process: the processor time that it has used, and
// what of that the garbage collector has, in milliseconds, the bytes of its heap's objects,
// and the number of its goroutines.
func (m *Metrics) RegisterProcess() error {
	for name, read := range map[string]func() int64{
		"process.processor_ms":           func() int64 { return ProcessorTime().Milliseconds() },
		"process.collector_processor_ms": func() int64 { return int64(readSample(sampleCollector) * float64(time.Second/time.Millisecond)) },
		"process.heap_bytes":             func() int64 { return int64(readSample(sampleHeap)) },
		"process.goroutines":             func() int64 { return int64(readSample(sampleGoroutines)) },
	} {
		if err := m.Registry.Register(name, gometrics.NewFunctionalGauge(read)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// ProcessorTime returns the processor time of the process; zero if the system does not
// tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// readSample returns a sample of the runtime; zero if this runtime does not have it.
func readSample(name string) float64 {
	samples := []metrics.Sample{{Name: name}}
	metrics.Read(samples)
	switch samples[0].Value.Kind() {
	case metrics.KindFloat64:
		return samples[0].Value.Float64()
	case metrics.KindUint64:
		return float64(samples[0].Value.Uint64())
	}
	return 0
}
