// Package config defines the start-up settings of an entry VM that proxies
// requests, independent of the platform. A platform's adapter fills them in.
package config

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/retry"
)

// Settings are the settings of one process.
type Settings struct {
	// VM is the name of this VM.
	VM string
	IP string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	Region        string
	// Callers is the listen address for callers, Balancer the one for the load
	// balancer's readiness checks, and Peers the one for the other VMs, each as
	// IP and port.
	Callers  string
	Balancer string
	Peers    string
	// PeersListen is the listen address for the other VMs if it differs from Peers, the
	// one at which they reach this VM, as behind a forwarded port; empty if it does not.
	PeersListen string
	// Metrics is the listen address of the metrics; empty to serve none.
	Metrics string
	// Profiles reports whether the metrics address also serves profiles of the process.
	Profiles bool
	// Seeds are peer addresses of some VMs; they may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Heartbeat is the interval at which endpoints write their rows to the store; zero
	// if it is unknown.
	Heartbeat time.Duration
	Limits    Limits
	// Grace is the time from a request to stop to the end of the process.
	Grace        time.Duration
	Retries      Retries
	Reservations Reservations
	Placement    Placement
}

// Placement enables parts of placement that not all deployments need. They hold until the
// process ends.
type Placement struct {
	// LearnCosts makes placement learn what requests cost and how fast endpoints are.
	LearnCosts bool
	// FairShares orders and refuses waiting requests by what their organisations have received.
	FairShares bool
	// HedgeSilent allows asking a second endpoint beside one that doesn't begin to respond.
	HedgeSilent bool
	// PreferNear prefers endpoints in the VM's failure domain where that costs the caller little.
	PreferNear bool
}

// Limits has the resource limits of the VM.
type Limits struct {
	Cores          int
	MemoryMB       int
	MaxDescriptors int
}

// Retries bounds the retries of requests, for each service over all VMs.
type Retries struct {
	Window time.Duration
	retry.Bounds
}

// Reservations bounds the reservations of memory at endpoints.
type Reservations struct {
	// MaxHold is the longest duration of a reservation that an endpoint grants.
	MaxHold time.Duration
	// ReleaseWithin is how long memory may stay reserved after the end of its
	// request.
	ReleaseWithin time.Duration
}
