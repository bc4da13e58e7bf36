// Package metrics has what a VM measures: histograms per organisation and
// length class, with a bounded number of series, and counters. They live in a
// go-metrics registry, which is served as JSON, and are also written in the
// Prometheus text format.
package metrics

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// maxPairs bounds the pairs of organisation and length class that have
	// histograms of their own.
	maxPairs = 1024
	// maxOverflow bounds the length classes told apart beyond that.
	maxOverflow = 16
	// Other stands for the organisations and classes beyond the bounds.
	Other = "other"
)

// kind is what a histogram measures.
type kind string

const (
	kindFirstToken kind = "first_token"
	kindBetween    kind = "between_tokens"
	kindQueueing   kind = "queueing"
)

const failuresPrefix = "failures."

// pair names an organisation and a length class.
type pair struct{ organisation, class string }

// series are the histograms of a pair.
type series struct {
	firstToken *Histogram
	between    *Histogram
	queueing   *Histogram
}

// Metrics is safe for concurrent use.
type Metrics struct {
	// Registry takes further metrics of other packages.
	Registry gometrics.Registry

	mu    sync.RWMutex
	pairs map[pair]*series
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{Registry: gometrics.NewRegistry(), pairs: make(map[pair]*series)}
}

// FirstToken notes the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(organisation, class string, d time.Duration) {
	m.series(organisation, class).firstToken.Record(d)
}

// BetweenTokens is the histogram of the time between two tokens of an answer. A
// request looks it up once, and not for each token.
func (m *Metrics) BetweenTokens(organisation, class string) *Histogram {
	return m.series(organisation, class).between
}

// Queueing notes the time from a request's arrival until it was first sent to
// an endpoint.
func (m *Metrics) Queueing(organisation, class string, d time.Duration) {
	m.series(organisation, class).queueing.Record(d)
}

// Failed counts a failure by its code.
func (m *Metrics) Failed(code string) {
	m.Counter(failuresPrefix + code).Inc(1)
}

// series returns the histograms of the pair, or those of the overflow.
func (m *Metrics) series(organisation, class string) *series {
	p := pair{organisation, class}
	m.mu.RLock()
	s := m.pairs[p]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.bounded(p)
	if m.pairs[p] == nil {
		m.pairs[p] = m.register(p)
	}
	return m.pairs[p]
}

// bounded replaces a new pair by one of the overflow when there are too many.
func (m *Metrics) bounded(p pair) pair {
	switch {
	case m.pairs[p] != nil || len(m.pairs) < maxPairs:
		return p
	case m.pairs[pair{Other, p.class}] != nil || len(m.pairs) < maxPairs+maxOverflow:
		return pair{Other, p.class}
	}
	return pair{Other, Other}
}

func (m *Metrics) register(p pair) *series {
	histogram := func(k kind) *Histogram {
		h := &Histogram{}
		name := string(k) + "_us." + p.organisation + "." + p.class
		_ = m.Registry.Register(name, h)
		return h
	}
	return &series{
		firstToken: histogram(kindFirstToken),
		between:    histogram(kindBetween),
		queueing:   histogram(kindQueueing),
	}
}

// Counter returns the counter of the name.
func (m *Metrics) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.Registry)
}
