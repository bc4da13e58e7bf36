package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const (
	namespace      = "cornelsaddle_"
	usPerSecond    = 1e6
	helpFirstToken = "Time from a request's arrival to its first token."
	helpBetween    = "Time between two tokens of an answer."
	helpQueueing   = "Time from a request's arrival until it was first sent to an endpoint."
	helpPrediction = "Difference of the time of a call, or to the first event of an answer, to the estimate of its placement."
	helpFailures   = "Failures by code."
	failuresMetric = namespace + "failures_total"
)

// Detail selects the labels by which histograms are grouped.
type Detail string

const (
	// ByOrganisation writes a histogram for each organisation and length class.
	ByOrganisation Detail = "organisation"
	// ByClass writes a histogram for each length class, summed over organisations.
	ByClass Detail = "class"
)

// WritePrometheus writes all metrics to w in the Prometheus text format, in a
// fixed order. It returns the first write error.
func (m *Metrics) WritePrometheus(w io.Writer, detail Detail) error {
	b := bufio.NewWriter(w)
	m.writeHistograms(b, detail, kindFirstToken, helpFirstToken, func(s *series) *Histogram { return s.firstToken })
	m.writeHistograms(b, detail, kindBetween, helpBetween, func(s *series) *Histogram { return s.between })
	m.writeHistograms(b, detail, kindQueueing, helpQueueing, func(s *series) *Histogram { return s.queueing })
	m.writeHistograms(b, detail, kindPrediction, helpPrediction, func(s *series) *Histogram { return s.prediction })
	m.writeRegistered(b)
	return errors.WithStack(b.Flush())
}

func (m *Metrics) writeHistograms(w io.Writer, detail Detail, k kind, help string, histogramOf func(*series) *Histogram) {
	name := namespace + string(k) + "_seconds"
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s histogram\n", name, help, name)
	keys := m.sortedKeys()
	if detail == ByClass {
		m.writeClasses(w, name, keys, histogramOf)
		return
	}
	for _, key := range keys {
		d := histogramOf(m.series(key.organisation, key.class)).copy()
		writeHistogram(w, name, fmt.Sprintf("organisation=%s,class=%s", quoteLabel(key.organisation), quoteLabel(key.class)), &d)
	}
}

// writeClasses writes the histograms of each length class, summed over
// organisations.
func (m *Metrics) writeClasses(w io.Writer, name string, keys []seriesKey, histogramOf func(*series) *Histogram) {
	sums := make(map[string]*distribution)
	classes := make([]string, 0, len(keys))
	for _, key := range keys {
		if sums[key.class] == nil {
			sums[key.class] = &distribution{}
			classes = append(classes, key.class)
		}
		d := histogramOf(m.series(key.organisation, key.class)).copy()
		sums[key.class].merge(&d)
	}
	sort.Strings(classes)
	for _, class := range classes {
		writeHistogram(w, name, "class="+quoteLabel(class), sums[class])
	}
}

func writeHistogram(w io.Writer, name, labels string, d *distribution) {
	sum := int64(0)
	for i, bound := range bounds {
		sum += d.counts[i]
		fmt.Fprintf(w, "%s_bucket{%s,le=\"%s\"} %d\n", name, labels, seconds(bound), sum)
	}
	fmt.Fprintf(w, "%s_bucket{%s,le=\"+Inf\"} %d\n", name, labels, d.count)
	fmt.Fprintf(w, "%s_sum{%s} %s\n%s_count{%s} %d\n", name, labels, seconds(d.sum), name, labels, d.count)
}

func (m *Metrics) sortedKeys() []seriesKey {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]seriesKey, 0, len(m.seriesByKey))
	for key := range m.seriesByKey {
		list = append(list, key)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].organisation != list[j].organisation {
			return list[i].organisation < list[j].organisation
		}
		return list[i].class < list[j].class
	})
	return list
}

// writeRegistered writes the failure counters and the metrics that other packages
// registered.
func (m *Metrics) writeRegistered(w io.Writer) {
	all := make(map[string]any)
	m.Registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n", failuresMetric, helpFailures, failuresMetric)
	previous := ""
	for _, name := range names {
		if code, ok := strings.CutPrefix(name, failuresPrefix); ok {
			if c, ok := all[name].(gometrics.Counter); ok {
				fmt.Fprintf(w, "%s{code=%s} %d\n", failuresMetric, quoteLabel(code), c.Count())
			}
			continue
		}
		base, labels, labelled := strings.Cut(name, "{")
		if labelled {
			labels = "{" + labels
		}
		// Names with the same base follow each other.
		writeMetric(w, namespace+metricName(base), labels, base != previous, all[name])
		previous = base
	}
}

// writeMetric writes a metric of another package, with its type if it is the first of
// its name. It skips *Histogram values, which writeHistograms writes.
func writeMetric(w io.Writer, name, labels string, first bool, metric any) {
	sample := func(kind string, value any) {
		if first {
			fmt.Fprintf(w, "# TYPE %s %s\n", name, kind)
		}
		fmt.Fprintf(w, "%s%s %v\n", name, labels, value)
	}
	switch x := metric.(type) {
	case *Histogram:
	case gometrics.Counter:
		sample("counter", x.Count())
	case gometrics.Meter:
		sample("counter", x.Count())
	case gometrics.Gauge:
		sample("gauge", x.Value())
	case gometrics.GaugeFloat64:
		sample("gauge", x.Value())
	case gometrics.Histogram:
		writeSummary(w, name, x.Snapshot())
	}
}

// writeSummary writes a sampled histogram as a summary.
func writeSummary(w io.Writer, name string, h gometrics.Histogram) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for _, q := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, h.Percentile(q))
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}

// seconds formats microseconds as seconds.
func seconds(us int64) string {
	return strconv.FormatFloat(float64(us)/usPerSecond, 'g', -1, 64)
}

// quoteLabel quotes and escapes a label value.
func quoteLabel(value string) string {
	r := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	return `"` + r.Replace(value) + `"`
}

// metricName replaces the characters that a metric name cannot have by
// underscores.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		}
		return '_'
	}, name)
}
