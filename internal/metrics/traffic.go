package metrics

import (
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// Direction tells whether this VM sent or received something.
type Direction string

// Directions of Traffic.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Domain tells where the other end of a connection is.
type Domain string

// Domains of Traffic: the failure domain of this VM, another one, or one that this VM
// does not know.
const (
	SameDomain    Domain = "same"
	OtherDomain   Domain = "other"
	UnknownDomain Domain = "unknown"
)

// CompareDomains compares the failure domain of the other end with that of this VM.
// Either may be empty if it is not known.
func CompareDomains(own, other string) Domain {
	switch {
	case own == "" || other == "":
		return UnknownDomain
	case own == other:
		return SameDomain
	}
	return OtherDomain
}

// Cause is what a message is for: the method of a call of another VM, or one of the
// following.
type Cause string

// Causes of traffic with endpoints: callers' requests with their responses, and
// reservations of their memory.
const (
	CauseRequest     Cause = "request"
	CauseReservation Cause = "reservation"
)

// ProfileLabel is the label that has a Cause in profiles of the process.
const ProfileLabel = "cause"

// Names under which Traffic registers its counters.
const (
	trafficMessages = "traffic.messages"
	trafficBytes    = "traffic.bytes"
)

// trafficKey identifies one pair of counters.
type trafficKey struct {
	cause     Cause
	direction Direction
	domain    Domain
}

// trafficCounters count the messages and the bytes of a trafficKey.
type trafficCounters struct{ messages, bytes gometrics.Counter }

// Traffic counts messages and bytes by cause, direction and the failure domain of the
// other end. The number of causes must be bounded by the caller. It is safe for
// concurrent use.
type Traffic struct {
	registry gometrics.Registry

	mu       sync.RWMutex
	counters map[trafficKey]trafficCounters
}

// NewTraffic returns a Traffic whose counters are in the registry.
func NewTraffic(registry gometrics.Registry) *Traffic {
	return &Traffic{registry: registry, counters: make(map[trafficKey]trafficCounters)}
}

// Add counts one message of a number of bytes.
func (t *Traffic) Add(cause Cause, direction Direction, domain Domain, bytes int64) {
	key := trafficKey{cause, direction, domain}
	t.mu.RLock()
	c, found := t.counters[key]
	t.mu.RUnlock()
	if !found {
		c = t.register(key)
	}
	c.messages.Inc(1)
	c.bytes.Inc(bytes)
}

func (t *Traffic) register(key trafficKey) trafficCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	counter := func(name string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter(Labelled(name, "cause", string(key.cause), "direction", string(key.direction), "domain", string(key.domain)), t.registry)
	}
	c := trafficCounters{counter(trafficMessages), counter(trafficBytes)}
	t.counters[key] = c
	return c
}

// Labelled returns the name under which a metric with labels is registered, from pairs of
// a label's name and value.
func Labelled(name string, labels ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(labels[i] + "=" + quoteLabel(labels[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}
