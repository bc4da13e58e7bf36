package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// BenchmarkReport measures encoding, decoding and applying one load report, with one
// send. The metric bytes/report is the length of the report's JSON.
func BenchmarkReport(b *testing.B) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(b, err)
	f := New(nil, nil, log)
	report := wire.LoadReport{Incarnation: "dh3k1xq8", QueuedTokens: [2]int64{12_345, 234_567}, Running: 17, FreeTokens: 123_456, TotalTokens: 480_000, PrefillRate: 41_234.5}
	size := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		report.AtMs = time.Now().UnixMilli()
		data, err := json.Marshal(report)
		require.NoError(b, err)
		size = len(data)
		var got wire.LoadReport
		require.NoError(b, json.Unmarshal(data, &got))
		f.SentPrompt("a", "r", placement.Prompt{Tokens: 1000}, wire.PriorityHigh)
		f.applyPoll("a", configuration.Endpoint{}, got, nil)
	}
	b.ReportMetric(float64(size), "bytes/report")
}

// BenchmarkMemory reports the memory use of one endpoint's state, with the sends of a
// few seconds and the given number of blocks in its prefix index.
func BenchmarkMemory(b *testing.B) {
	for _, blocks := range []int{0, 2000} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(endpointMemory(b, blocks), "bytes/endpoint")
			}
		})
	}
}

func endpointMemory(b *testing.B, blocks int) float64 {
	const endpoints, sends = 200, 20
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(b, err)
	prefix := make([]uint64, blocks)
	for i := range prefix {
		prefix[i] = uint64(i)
	}
	before := heapBytes()
	f := New(nil, nil, log)
	for i := range endpoints {
		id := fmt.Sprint("endpoint-", i)
		for j := range sends {
			f.SentPrompt(id, fmt.Sprint("request-", j), placement.Prompt{Tokens: 1000}, wire.PriorityHigh)
		}
		f.model(id).Prefixes.RecordComputed(time.Now(), prefix)
	}
	after := heapBytes()
	runtime.KeepAlive(f)
	return float64(after-before) / endpoints
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkPlace measures the placement of one prompt, including the lock and the scope
// lookup, by the number of endpoints.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{20, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			log, err := event.New(io.Discard, "json", "info", "vm")
			require.NoError(b, err)
			f := New(nil, nil, log)
			snap := &confsync.Snapshot{Version: 1, Document: &configuration.Document{Endpoints: map[string]configuration.Endpoint{}}}
			for i := range n {
				snap.Endpoints[fmt.Sprint("endpoint-", i)] = configuration.Endpoint{Service: "pool", MemoryTokens: 400_000}
			}
			p := placement.Prompt{Tokens: 3000, MaxTokens: 100}
			b.ReportAllocs()
			for b.Loop() {
				f.Place(snap, "pool", nil, p)
			}
		})
	}
}
