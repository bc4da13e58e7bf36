package metrics

import (
	"math"
	"sort"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// bounds are the inclusive upper bounds of the buckets, in microseconds. 27 ms and
// 480 ms are the targets of the design size for the time between tokens and the
// time to first token; as bounds they make the shares within the targets exact.
var bounds = [...]int64{
	100, 200, 500,
	1_000, 2_000, 5_000, 10_000, 15_000, 20_000, 27_000, 40_000, 60_000,
	100_000, 150_000, 200_000, 300_000, 480_000, 700_000,
	1_000_000, 1_500_000, 2_000_000, 3_000_000, 5_000_000, 7_000_000,
	10_000_000, 15_000_000, 20_000_000, 30_000_000, 50_000_000,
	100_000_000, 200_000_000, 500_000_000,
}

// Histogram counts durations in fixed buckets, so that the histograms of several
// VMs can be summed. It implements gometrics.Histogram with values in
// microseconds, takes a few hundred bytes and is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	distribution
}

// distribution holds the values of a Histogram. The last element of counts is the
// number of values above all bounds.
type distribution struct {
	counts  [len(bounds) + 1]int64
	count   int64
	sum     int64
	squares float64
	min     int64
	max     int64
}

var _ gometrics.Histogram = (*Histogram)(nil)

// Record adds a duration, truncated to microseconds.
func (h *Histogram) Record(d time.Duration) { h.Update(d.Microseconds()) }

// Update implements gometrics.Histogram; it adds a value in microseconds.
func (h *Histogram) Update(us int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(us)
}

func (d *distribution) add(us int64) {
	i := sort.Search(len(bounds), func(i int) bool { return us <= bounds[i] })
	d.counts[i]++
	if d.count == 0 || us < d.min {
		d.min = us
	}
	if d.count == 0 || us > d.max {
		d.max = us
	}
	d.count++
	d.sum += us
	d.squares += float64(us) * float64(us)
}

// merge adds the values of o to d.
func (d *distribution) merge(o *distribution) {
	if o.count == 0 {
		return
	}
	if d.count == 0 || o.min < d.min {
		d.min = o.min
	}
	d.max = max(d.max, o.max)
	d.count += o.count
	d.sum += o.sum
	d.squares += o.squares
	for i, n := range o.counts {
		d.counts[i] += n
	}
}

func (h *Histogram) copy() distribution {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.distribution
}

// Clear implements gometrics.Histogram.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.distribution = distribution{}
}

// Snapshot implements gometrics.Histogram.
func (h *Histogram) Snapshot() gometrics.Histogram { return &Histogram{distribution: h.copy()} }

// Sample implements gometrics.Histogram. It returns an empty sample, since
// individual values are not kept.
func (*Histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }

// Count implements gometrics.Histogram.
func (h *Histogram) Count() int64 { return h.copy().count }

// Sum implements gometrics.Histogram.
func (h *Histogram) Sum() int64 { return h.copy().sum }

// Min implements gometrics.Histogram.
func (h *Histogram) Min() int64 { return h.copy().min }

// Max implements gometrics.Histogram.
func (h *Histogram) Max() int64 { return h.copy().max }

// Mean implements gometrics.Histogram.
func (h *Histogram) Mean() float64 {
	d := h.copy()
	return d.mean()
}

func (d *distribution) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return float64(d.sum) / float64(d.count)
}

// Variance implements gometrics.Histogram.
func (h *Histogram) Variance() float64 {
	d := h.copy()
	if d.count == 0 {
		return 0
	}
	mean := d.mean()
	return max(0, d.squares/float64(d.count)-mean*mean)
}

// StdDev implements gometrics.Histogram.
func (h *Histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }

// Percentile implements gometrics.Histogram, for p from 0 to 1. It interpolates
// linearly within the bucket.
func (h *Histogram) Percentile(p float64) float64 {
	return h.Percentiles([]float64{p})[0]
}

// Percentiles implements gometrics.Histogram.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	d := h.copy()
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = d.percentile(p)
	}
	return values
}

func (d *distribution) percentile(p float64) float64 {
	rank := p * float64(d.count)
	below := 0.0
	for i, n := range d.counts {
		if n == 0 || below+float64(n) < rank {
			below += float64(n)
			continue
		}
		low, high := d.bucketRange(i)
		return low + (high-low)*(rank-below)/float64(n)
	}
	return float64(d.max)
}

// bucketRange returns the lower and upper bound of bucket i, limited to the range
// from the smallest to the largest value.
func (d *distribution) bucketRange(i int) (low, high float64) {
	low = float64(d.min)
	high = float64(d.max)
	if i > 0 {
		low = max(low, float64(bounds[i-1]))
	}
	if i < len(bounds) {
		high = min(high, float64(bounds[i]))
	}
	return low, high
}
