package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// decodeRounds is the number of times each document is decoded.
const decodeRounds = 50

// configurationSlope measures the size, heap memory and decoding time of a
// configuration document as a function of its organisations and endpoints.
func configurationSlope(time.Duration) error {
	fmt.Println("\n## Configuration cost by document size")
	fmt.Println("| organisations | endpoints | document KB | decoded KB | decoding ms |")
	fmt.Println("|---|---|---|---|---|")
	for _, size := range []struct{ organisations, endpoints int }{{10, 23}, {100, 700}, {400, 2850}, {800, 5700}} {
		if err := configurationPoint(size.organisations, size.endpoints); err != nil {
			return err
		}
	}
	return nil
}

// configurationPoint measures one document size and prints a table row.
func configurationPoint(organisations, endpoints int) error {
	data, err := json.Marshal(sampleDocument(organisations, endpoints))
	if err != nil {
		return errors.WithStack(err)
	}
	before := liveHeapBytes()
	start := time.Now()
	docs := make([]*configuration.Document, 0, decodeRounds)
	for range decodeRounds {
		d, err := configuration.Decode(data)
		if err != nil {
			return err
		}
		docs = append(docs, d)
	}
	decodeTime := time.Since(start) / decodeRounds
	heapPerDocument := (liveHeapBytes() - before) / decodeRounds
	runtime.KeepAlive(docs)
	fmt.Printf("| %d | %d | %d | %d | %.2f |\n", organisations, endpoints, len(data)>>10, heapPerDocument>>10,
		float64(decodeTime.Microseconds())/1000)
	return nil
}

// liveHeapBytes runs a garbage collection and returns the size of the live heap.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// sampleDocument returns a document with eight services and the given numbers of
// organisations and endpoints.
func sampleDocument(organisations, endpoints int) configuration.Document {
	const services = 8
	doc := configuration.Document{
		Organisations: make(map[string]configuration.Organisation, organisations),
		Services:      make(map[string]configuration.Service, services),
		Endpoints:     make(map[string]configuration.Endpoint, endpoints),
	}
	for i := range services {
		doc.Services[fmt.Sprintf("service-%d", i)] = configuration.Service{Kind: configuration.KindModel, MaxTimeoutMs: requestTimeoutMs}
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		doc.Organisations[name] = configuration.Organisation{
			KeyDigests: []string{calls.Digest([]byte(name))}, Weight: 1, Services: []string{"service-0", "service-1"},
		}
	}
	for i := range endpoints {
		doc.Endpoints[fmt.Sprintf("endpoint-%d", i)] = configuration.Endpoint{
			Service:       fmt.Sprintf("service-%d", i%services),
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			FailureDomain: fmt.Sprintf("domain-%d", i%12),
			MemoryTokens:  400_000,
			ChecksFencing: true,
		}
	}
	return doc
}
