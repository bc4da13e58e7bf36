package entry

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
)

const (
	// bufferFraction is the fraction of the VM's memory for the buffers of requests and
	// responses. The rest of the heap is left for connections, tables and garbage.
	bufferFraction = 0.4
	// memoryInterval is the time between two checks whether the memory for buffers has room
	// again.
	memoryInterval = time.Second
)

// bufferMemory is the memory for buffers, and logs when it is used up and has room again.
type bufferMemory struct {
	*membudget.Budget
	log *event.Logger

	mu sync.Mutex
	// began is the state of the memory when it was used up, and since the time of that.
	began membudget.Report
	since time.Time
}

func newBufferMemory(log *event.Logger) *bufferMemory {
	m := &bufferMemory{log: log}
	m.Budget = membudget.New(m.usedUp)
	return m
}

// apply applies the memory limit; one that is not positive leaves the current value.
func (m *bufferMemory) apply(limits config.Limits) {
	if limits.MemoryMB > 0 {
		m.SetLimit(int64(float64(limits.MemoryMB) * megabyte * bufferFraction))
	}
}

// usedUp logs that the memory for buffers is used up. It is called by the budget.
func (m *bufferMemory) usedUp(r membudget.Report) {
	m.mu.Lock()
	m.began, m.since = r, time.Now()
	m.mu.Unlock()
	m.log.Emit(event.MemoryUsedUp{Limit: r.Limit, Requests: r.Requests, Responses: r.Responses})
}

// settle logs if there is room again after the memory was used up. It is called every
// memoryInterval.
func (m *bufferMemory) settle() {
	r, room := m.Settle()
	if !room {
		return
	}
	m.mu.Lock()
	began, since := m.began, m.since
	m.mu.Unlock()
	m.log.Emit(event.MemoryHasRoom{
		Limit: r.Limit, Requests: r.Requests, Responses: r.Responses,
		Refused: r.Refused - began.Refused, Failed: r.Failed - began.Failed, Unbuffered: r.Unbuffered - began.Unbuffered,
		UsedUp: time.Since(since),
	})
}

// registerMemoryGauges registers the gauges of the memory for buffers.
func (v *VM) registerMemoryGauges(gauge func(name string, read func() int64)) {
	gauge("memory.limit", func() int64 { return v.memory.Report().Limit })
	gauge("memory.requests", func() int64 { return v.memory.Report().Requests })
	gauge("memory.responses", func() int64 { return v.memory.Report().Responses })
	gauge("memory.refused", func() int64 { return v.memory.Report().Refused })
	gauge("memory.failed", func() int64 { return v.memory.Report().Failed })
	gauge("memory.unbuffered", func() int64 { return v.memory.Report().Unbuffered })
}
