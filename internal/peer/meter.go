package peer

import (
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// causeUnknown is the cause of messages that belong to no method of this VM.
const causeUnknown metrics.Cause = "unknown"

// meter counts the messages of one connection by the method that they belong to. The
// JSON-RPC library calls onSend immediately before WriteObject, with the connection
// locked, and onReceive immediately after ReadObject, by the same goroutine.
type meter struct {
	traffic *metrics.Traffic
	// domainOf returns the failure domain of the other VM; empty while it is not known.
	domainOf func() string
	own      string
	known    func(Method) bool

	// sending is the cause of the message to be written, and read the size of the last
	// message that was read.
	sending metrics.Cause
	read    int

	// mu guards answering, which maps the requests that were received and not answered
	// yet to their methods.
	mu        sync.Mutex
	answering map[jsonrpc2.ID]metrics.Cause
}

func (s *shared) newMeter(vm string) *meter {
	return &meter{
		traffic: s.traffic, own: s.cfg.FailureDomain, domainOf: func() string { return s.cfg.domainOf(vm) },
		known: func(m Method) bool { _, found := s.mux.lookup(m); return found }, answering: make(map[jsonrpc2.ID]metrics.Cause),
	}
}

// options returns the options of the connection.
func (m *meter) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(m.onSend), jsonrpc2.OnRecv(m.onReceive), jsonrpc2.SetLogger(discardLogger{})}
}

func (m *meter) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	switch {
	case req != nil:
		m.sending = metrics.Cause(req.Method)
	case resp != nil:
		m.sending = m.answered(resp.ID)
	}
}

func (m *meter) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	cause := causeUnknown
	if req != nil && (resp != nil || m.known(Method(req.Method))) {
		cause = metrics.Cause(req.Method)
	}
	if resp == nil && req != nil && !req.Notif {
		m.mu.Lock()
		m.answering[req.ID] = cause
		m.mu.Unlock()
	}
	m.add(cause, metrics.Received, m.read)
}

// answered returns the cause of a request that this VM answers now.
func (m *meter) answered(id jsonrpc2.ID) metrics.Cause {
	m.mu.Lock()
	defer m.mu.Unlock()
	cause, found := m.answering[id]
	if !found {
		return causeUnknown
	}
	delete(m.answering, id)
	return cause
}

// written counts the message that was written.
func (m *meter) written(bytes int) { m.add(m.sending, metrics.Sent, bytes) }

func (m *meter) add(cause metrics.Cause, direction metrics.Direction, bytes int) {
	m.traffic.Add(cause, direction, metrics.CompareDomains(m.own, m.domainOf()), int64(bytes))
}
