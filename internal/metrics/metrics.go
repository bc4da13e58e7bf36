// Package metrics collects the metrics of a process: histograms per organisation
// and length class, with a limited number of series, and counters. They are kept
// in a go-metrics registry, which is served as JSON, and are also written in the
// Prometheus text format.
package metrics

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// maxSeries limits the number of pairs of organisation and length class that
	// have their own histograms.
	maxSeries = 1024
	// maxOverflow limits the number of length classes that have their own
	// histograms beyond that, under the organisation Other.
	maxOverflow = 16
	// Other is the label value for organisations and length classes beyond these
	// limits.
	Other = "other"
)

// kind is the name of the quantity that a histogram measures.
type kind string

const (
	kindFirstToken kind = "first_token"
	kindBetween    kind = "between_tokens"
	kindQueueing   kind = "queueing"
	// kindPrediction is the error of the estimate on which a placement is based.
	kindPrediction kind = "prediction_error"
)

const failuresPrefix = "failures."

// seriesKey identifies a series by organisation and length class.
type seriesKey struct{ organisation, class string }

// series holds the histograms of an organisation and length class.
type series struct {
	firstToken *Histogram
	between    *Histogram
	queueing   *Histogram
	prediction *Histogram
}

// Metrics holds the metrics of a process. It is safe for concurrent use.
type Metrics struct {
	// Registry holds all metrics; other packages may register theirs.
	Registry gometrics.Registry

	mu          sync.RWMutex
	seriesByKey map[seriesKey]*series
}

// New returns a Metrics without any values.
func New() *Metrics {
	return &Metrics{Registry: gometrics.NewRegistry(), seriesByKey: make(map[seriesKey]*series)}
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(organisation, class string, d time.Duration) {
	m.series(organisation, class).firstToken.Record(d)
}

// BetweenTokens returns the histogram of the time between two tokens of an answer.
// Callers should look it up once per request, not for each token.
func (m *Metrics) BetweenTokens(organisation, class string) *Histogram {
	return m.series(organisation, class).between
}

// Queueing records the time from a request's arrival until it was first sent to
// an endpoint.
func (m *Metrics) Queueing(organisation, class string, d time.Duration) {
	m.series(organisation, class).queueing.Record(d)
}

// PredictionError records by how much a placement's estimate was off, in either direction.
func (m *Metrics) PredictionError(organisation, class string, d time.Duration) {
	m.series(organisation, class).prediction.Record(d.Abs())
}

// Failed increments the failure counter of the error code.
func (m *Metrics) Failed(code string) {
	m.Counter(failuresPrefix + code).Inc(1)
}

// series returns the histograms of the organisation and length class, or those of
// Other if the limits are reached.
func (m *Metrics) series(organisation, class string) *series {
	key := seriesKey{organisation, class}
	m.mu.RLock()
	s := m.seriesByKey[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key = m.limitedKey(key)
	if m.seriesByKey[key] == nil {
		m.seriesByKey[key] = m.register(key)
	}
	return m.seriesByKey[key]
}

// limitedKey returns the key itself if it exists or may be added, else a key with
// Other as organisation, or as organisation and length class. The caller holds mu.
func (m *Metrics) limitedKey(key seriesKey) seriesKey {
	switch {
	case m.seriesByKey[key] != nil || len(m.seriesByKey) < maxSeries:
		return key
	case m.seriesByKey[seriesKey{Other, key.class}] != nil || len(m.seriesByKey) < maxSeries+maxOverflow:
		return seriesKey{Other, key.class}
	}
	return seriesKey{Other, Other}
}

// register adds the histograms of the key to the registry and returns them.
func (m *Metrics) register(key seriesKey) *series {
	histogram := func(k kind) *Histogram {
		h := &Histogram{}
		name := string(k) + "_us." + key.organisation + "." + key.class
		_ = m.Registry.Register(name, h)
		return h
	}
	return &series{
		firstToken: histogram(kindFirstToken),
		between:    histogram(kindBetween),
		queueing:   histogram(kindQueueing),
		prediction: histogram(kindPrediction),
	}
}

// Counter returns the counter with the name, which it registers if needed.
func (m *Metrics) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, m.Registry)
}
