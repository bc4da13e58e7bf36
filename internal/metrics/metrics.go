// Package metrics has the histograms per organisation and length class.
package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics is safe for concurrent use.
type Metrics struct {
	Registry gometrics.Registry
}

// New returns empty metrics.
func New() *Metrics { return &Metrics{Registry: gometrics.NewRegistry()} }

// FirstToken notes the time to the first token.
func (m *Metrics) FirstToken(organisation, class string, d time.Duration) {
	m.histogram("first_token_ms." + organisation + "." + class).Update(d.Milliseconds())
}

func (m *Metrics) histogram(name string) gometrics.Histogram {
	return m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}
