package peer

import "github.com/rcrowley/go-metrics"

// Counters counts the bytes and messages after the handshakes, and the rejected
// connections and messages.
type Counters struct {
	BytesSent        metrics.Counter
	BytesReceived    metrics.Counter
	MessagesSent     metrics.Counter
	MessagesReceived metrics.Counter
	Rejected         metrics.Counter
}

// NewCounters returns the counters of the registry, registering them if needed.
func NewCounters(r metrics.Registry) *Counters {
	return &Counters{
		BytesSent:        metrics.GetOrRegisterCounter("peer.bytes_sent", r),
		BytesReceived:    metrics.GetOrRegisterCounter("peer.bytes_received", r),
		MessagesSent:     metrics.GetOrRegisterCounter("peer.messages_sent", r),
		MessagesReceived: metrics.GetOrRegisterCounter("peer.messages_received", r),
		Rejected:         metrics.GetOrRegisterCounter("peer.rejected", r),
	}
}

func (c *Counters) sent(n int) {
	c.BytesSent.Inc(int64(n))
	c.MessagesSent.Inc(1)
}

func (c *Counters) received(n int) {
	c.BytesReceived.Inc(int64(n))
	c.MessagesReceived.Inc(1)
}
