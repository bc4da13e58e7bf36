// Package config has the start-up settings of an entry VM that passes requests
// through, in the product's own terms. A platform's adapter fills them in.
package config

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/retry"
)

// Settings are those of one process.
type Settings struct {
	// VM is this VM's name.
	VM     string
	IP     string
	Domain string
	Region string
	// Callers is where callers connect, Balancer where the balancer asks whether
	// this VM is ready, and Peers where the other VMs connect: IP and port.
	Callers  string
	Balancer string
	Peers    string
	// Metrics is where the metrics are served; empty for nowhere.
	Metrics string
	// Seeds are peer addresses of some VMs, perhaps stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store   string
	Machine Machine
	// Grace is the time between a request to stop and the end.
	Grace   time.Duration
	Retries Retries
	Memory  Memory
}

// Machine has the limits of the VM.
type Machine struct {
	Cores          int
	MemoryMB       int
	MaxDescriptors int
}

// Retries bound the sends beyond the first of each request, for each service
// over all VMs.
type Retries struct {
	Window time.Duration
	retry.Bounds
}

// Memory bounds the reservations of endpoints' memory.
type Memory struct {
	// MaxHold is the longest that an endpoint grants.
	MaxHold time.Duration
	// FreeWithin is how long memory may stay set aside after its request.
	FreeWithin time.Duration
}
