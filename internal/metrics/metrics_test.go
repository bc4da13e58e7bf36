package metrics

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func prometheusText(t *testing.T, m *Metrics) string {
	t.Helper()
	return prometheusTextWith(t, m, ByOrganisation)
}

func prometheusTextWith(t *testing.T, m *Metrics, detail Detail) string {
	t.Helper()
	var b strings.Builder
	require.NoError(t, m.WritePrometheus(&b, detail))
	return b.String()
}

// TestHistogramMatchesSortedValues compares a histogram with a sorted list of all
// its values.
func TestHistogramMatchesSortedValues(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var h Histogram
	all := make([]int64, 0, 5_000)
	for range 5_000 {
		us := int64(math.Exp(rng.Float64() * 20))
		h.Update(us)
		all = append(all, us)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	sum := int64(0)
	for _, us := range all {
		sum += us
	}
	require.Equal(t, int64(len(all)), h.Count())
	require.Equal(t, sum, h.Sum())
	require.Equal(t, all[0], h.Min())
	require.Equal(t, all[len(all)-1], h.Max())
	require.InEpsilon(t, float64(sum)/float64(len(all)), h.Mean(), 1e-9)
	for _, p := range []float64{0.01, 0.25, 0.5, 0.9, 0.95, 0.99, 1} {
		exact := all[int(math.Ceil(p*float64(len(all))))-1]
		got := h.Percentile(p)
		require.Equal(t, bucketOf(exact), bucketOf(int64(math.Ceil(got))), "p%v: %v, not %d", p, got, exact)
	}
}

func bucketOf(us int64) int {
	return sort.Search(len(bounds), func(i int) bool { return us <= bounds[i] })
}

func TestEmptyHistogram(t *testing.T) {
	var h Histogram
	require.Zero(t, h.Mean())
	require.Zero(t, h.StdDev())
	require.Zero(t, h.Percentile(0.5))
}

func TestBucketsAreCumulativeAndInSeconds(t *testing.T) {
	m := New()
	for _, d := range []time.Duration{time.Millisecond, 480 * time.Millisecond, 481 * time.Millisecond, time.Hour} {
		m.FirstToken("framers", "short", d)
	}
	out := prometheusText(t, m)
	const name = `cornelsaddle_first_token_seconds_bucket{organisation="framers",class="short",le=`
	for le, n := range map[string]int{"0.0005": 0, "0.001": 1, "0.48": 2, "0.7": 3, "500": 3, "+Inf": 4} {
		require.Contains(t, out, fmt.Sprintf("%s%q} %d\n", name, le, n))
	}
	require.Contains(t, out, `cornelsaddle_first_token_seconds_count{organisation="framers",class="short"} 4`)
	require.Contains(t, out, `cornelsaddle_between_tokens_seconds_count{organisation="framers",class="short"} 0`)
}

func TestByClassSumsOrganisations(t *testing.T) {
	m := New()
	var total Histogram
	for i := range 100 {
		d := time.Duration(i) * 7 * time.Millisecond
		m.FirstToken(fmt.Sprintf("organisation-%d", i%7), "short", d)
		m.FirstToken("organisation-0", "long", time.Second)
		total.Record(d)
	}
	var want strings.Builder
	d := total.copy()
	writeHistogram(&want, "cornelsaddle_first_token_seconds", `class="short"`, &d)
	out := prometheusTextWith(t, m, ByClass)
	require.Contains(t, out, want.String())
	require.Contains(t, out, `cornelsaddle_first_token_seconds_count{class="long"} 100`)
	require.NotContains(t, out, "organisation=")
	var sum distribution
	for _, key := range m.sortedKeys() {
		if key.class == "short" {
			part := m.series(key.organisation, key.class).firstToken.copy()
			sum.merge(&part)
		}
	}
	require.Equal(t, d, sum)
}

func TestSeriesAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxSeries {
		m.FirstToken(fmt.Sprintf("organisation-%d", i), "short", time.Millisecond)
	}
	for i := range 3 * maxOverflow {
		m.FirstToken("late", fmt.Sprintf("class-%d", i), time.Millisecond)
	}
	require.LessOrEqual(t, len(m.seriesByKey), maxSeries+maxOverflow+1)
	total := int64(0)
	for _, s := range m.seriesByKey {
		total += s.firstToken.Count()
	}
	require.Equal(t, int64(3*maxSeries+3*maxOverflow), total)
	require.Equal(t, int64(2*maxSeries), m.seriesByKey[seriesKey{Other, "short"}].firstToken.Count())
	require.Positive(t, m.seriesByKey[seriesKey{Other, Other}].firstToken.Count())
}

func TestRegistryIsServedAsJSON(t *testing.T) {
	m := New()
	m.Queueing("framers", "short", 2*time.Millisecond)
	m.Failed("no_endpoint")
	data, err := json.Marshal(m.Registry.GetAll())
	require.NoError(t, err)
	require.Contains(t, string(data), `"queueing_us.framers.short":{`)
	require.Contains(t, string(data), `"failures.no_endpoint":{"count":1}`)
}

// TestTextFormat checks every line against the grammar of the Prometheus text
// format.
func TestTextFormat(t *testing.T) {
	m := New()
	m.FirstToken(`a"b\c`, "short", time.Second)
	m.Failed("no_endpoint")
	gometrics.GetOrRegisterCounter("peer.bytes-sent", m.Registry).Inc(3)
	gometrics.GetOrRegisterGauge("members", m.Registry).Update(4)
	gometrics.GetOrRegisterHistogram("sizes", m.Registry, gometrics.NewUniformSample(10)).Update(5)
	line := regexp.MustCompile(`^(# (HELP|TYPE) [a-z_]+ .+|[a-z_]+(\{([a-z]+="([^"\\]|\\.)*",?)+\})? [0-9.e+-]+)$`)
	for _, l := range strings.Split(strings.TrimSpace(prometheusText(t, m)), "\n") {
		require.Regexp(t, line, l)
	}
	out := prometheusText(t, m)
	require.Contains(t, out, "cornelsaddle_failures_total{code=\"no_endpoint\"} 1\n")
	require.Contains(t, out, "cornelsaddle_peer_bytes_sent 3\n")
	require.Contains(t, out, "cornelsaddle_members 4\n")
	require.Contains(t, out, "cornelsaddle_sizes_count 1\n")
	require.Equal(t, out, prometheusText(t, m))
}

func TestConcurrentUse(t *testing.T) {
	m := New()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 200 {
				m.FirstToken("framers", "short", time.Millisecond)
				m.BetweenTokens(fmt.Sprint(i), "short").Record(time.Millisecond)
				m.Failed("no_endpoint")
				_ = m.Registry.GetAll()
			}
		})
	}
	wg.Wait()
	require.Equal(t, int64(1600), m.series("framers", "short").firstToken.Count())
}

// BenchmarkFirstToken measures recording one value, with as many series as the
// design size has.
func BenchmarkFirstToken(b *testing.B) {
	m := New()
	for i := range maxSeries {
		m.FirstToken(fmt.Sprintf("organisation-%d", i), "short", time.Millisecond)
	}
	for b.Loop() {
		m.FirstToken("organisation-7", "short", 27*time.Millisecond)
	}
}

// BenchmarkSeries measures the cost of adding one series.
func BenchmarkSeries(b *testing.B) {
	b.ReportAllocs()
	m := New()
	for i := range b.N {
		m.seriesByKey[seriesKey{fmt.Sprint(i), "short"}] = m.register(seriesKey{fmt.Sprint(i), "short"})
	}
}

// BenchmarkPrometheus measures writing the metrics of 100 series and reports the
// size of the output.
func BenchmarkPrometheus(b *testing.B) {
	for _, detail := range []Detail{ByOrganisation, ByClass} {
		b.Run(string(detail), func(b *testing.B) {
			m := New()
			for i := range 100 {
				m.FirstToken(fmt.Sprintf("organisation-%d", i), "short", time.Millisecond)
			}
			var size int
			for b.Loop() {
				var text strings.Builder
				if err := m.WritePrometheus(&text, detail); err != nil {
					b.Fatal(err)
				}
				size = text.Len()
			}
			b.ReportMetric(float64(size), "bytes/100pairs")
		})
	}
}
