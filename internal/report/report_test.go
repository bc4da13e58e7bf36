package report

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

func group(class, organisation string, p95 float64) loadgen.Group {
	q := loadgen.Quantiles{Count: 4, P95Ms: p95, Buckets: []loadgen.Bucket{{ToMs: p95 / 2, Count: 3}, {ToMs: p95, Count: 1}}}
	return loadgen.Group{Class: class, Organisation: organisation, FirstToken: q, BetweenTokens: q}
}

func run(label, class string, p95 float64) Run {
	return Run{label, loadgen.Result{
		Classes:       []loadgen.Group{group(class, "", p95)},
		Organisations: []loadgen.Group{group(class, "framers", p95)},
	}}
}

func TestPageComparesRuns(t *testing.T) {
	var b strings.Builder
	require.NoError(t, Write(&b, []Run{run("before", "short", 10), run("after", "short", 40)}))
	require.Equal(t, 2, strings.Count(b.String(), "<svg"))
	require.Contains(t, b.String(), "<td>1.00</td>")
	require.Contains(t, b.String(), "<td>0.25</td>")
	require.Contains(t, b.String(), "framers")
}

func TestPageEscapesNames(t *testing.T) {
	const hostile = `<script>"&`
	var b strings.Builder
	require.NoError(t, Write(&b, []Run{run(hostile, hostile, 10)}))
	require.NotContains(t, b.String(), "<script>")
}

func TestPlotIsWellFormedXML(t *testing.T) {
	svg, err := plotCumulative("a < b", []series{{"x & y", []loadgen.Bucket{{ToMs: 1, Count: 1}, {ToMs: 2, Count: 1}}}})
	require.NoError(t, err)
	dec := xml.NewDecoder(strings.NewReader(string(svg)))
	for {
		_, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
	}
}

func TestCumulativeShareEndsAtOne(t *testing.T) {
	xys := cumulativePoints([]loadgen.Bucket{{ToMs: 1, Count: 3}, {ToMs: 2, Count: 1}})
	require.Equal(t, 0.75, xys[1].Y)
	require.Equal(t, 1.0, xys[3].Y)
}

// TestBucketsWithAnEmptyRangeAreDrawn plots a single time and times that a
// logarithmic axis can't show; the axis would have an empty range.
func TestBucketsWithAnEmptyRangeAreDrawn(t *testing.T) {
	for _, buckets := range [][]loadgen.Bucket{
		{{ToMs: 3, Count: 1}},
		{{ToMs: 0, Count: 1}, {ToMs: 3, Count: 1}},
		{{ToMs: -1, Count: 1}},
	} {
		_, err := plotCumulative("one", []series{{"run", buckets}})
		require.NoError(t, err)
	}
}

func TestWriteRejectsNoRuns(t *testing.T) {
	var noRuns *NoRunsError
	require.ErrorAs(t, Write(io.Discard, nil), &noRuns)
}
