package loadgen

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// A histogram covers 1 µs to 1 h with a precision of 1%.
	minTime            = time.Microsecond
	maxTime            = time.Hour
	significantFigures = 2
)

// Quantiles summarises a distribution of times, in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P95Ms  float64 `json:"p95_ms"`
	P99Ms  float64 `json:"p99_ms"`
	MaxMs  float64 `json:"max_ms"`
	// Buckets are the non-empty buckets of the distribution.
	Buckets []Bucket `json:"bars,omitempty"`
}

// Bucket counts the times up to ToMs that are above the previous bucket.
type Bucket struct {
	ToMs  float64 `json:"to_ms"`
	Count int64   `json:"count"`
}

// histogram records times; those out of its range are clamped to it.
type histogram struct{ h *hdr.Histogram }

func newHistogram() histogram {
	return histogram{hdr.New(minTime.Microseconds(), maxTime.Microseconds(), significantFigures)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, minTime), maxTime)
	_ = h.h.RecordValue(d.Microseconds())
}

func (h histogram) quantiles() Quantiles {
	q := Quantiles{Count: h.h.TotalCount()}
	if q.Count == 0 {
		return q
	}
	q.MeanMs = h.h.Mean() / 1000
	q.P50Ms = ms(h.h.ValueAtQuantile(50))
	q.P90Ms = ms(h.h.ValueAtQuantile(90))
	q.P95Ms = ms(h.h.ValueAtQuantile(95))
	q.P99Ms = ms(h.h.ValueAtQuantile(99))
	q.MaxMs = ms(h.h.Max())
	for _, b := range h.h.Distribution() {
		if b.Count > 0 {
			q.Buckets = append(q.Buckets, Bucket{ToMs: ms(b.To), Count: b.Count})
		}
	}
	return q
}

func ms(us int64) float64 { return float64(us) / 1000 }
