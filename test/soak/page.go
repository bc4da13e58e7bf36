package main

import (
	_ "embed"
	"html/template"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cornelsaddle.example/cornelsaddle/internal/report"
)

const (
	// plottedSeeds is the number of seeds that have plots on the page, beside those with
	// a failed check.
	plottedSeeds = 10
	// latencyInterval is the length of the intervals whose latencies make one point, and
	// latencyQuantile what the point has of them.
	latencyInterval = 500 * time.Millisecond
	latencyQuantile = 0.95

	faultWidth = 4 * vg.Length(1) // points
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the input of the page's template.
type pageData struct {
	Promises []promise
	Rows     []pageRow
	Sections []pageSection
}

// pageRow is a row of the table: one seed.
type pageRow struct {
	Seed           uint64
	Faults, Failed int
	// Checked has the number of checks of each promise.
	Checked []int
}

// pageSection has the plots of one seed.
type pageSection struct {
	Seed            uint64
	Faults, Latency template.HTML
	Violations      []string
}

// writePage writes the results as one HTML file, which loads nothing else.
func writePage(path string, results []result) error {
	data := pageData{Promises: promises}
	for _, r := range results {
		row := pageRow{Seed: r.seed, Faults: len(r.faults), Failed: len(r.violations)}
		for _, p := range promises {
			row.Checked = append(row.Checked, r.checked[p])
		}
		data.Rows = append(data.Rows, row)
		if len(data.Sections) >= plottedSeeds && len(r.violations) == 0 {
			continue
		}
		section, err := newPageSection(r)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, section)
	}
	var page strings.Builder
	if err := pageTemplate.Execute(&page, data); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, []byte(page.String()), 0o644)) //nolint:gosec // the page is to be read by others
}

func newPageSection(r result) (pageSection, error) {
	section := pageSection{Seed: r.seed, Violations: r.violations}
	var err error
	if section.Faults, err = plotFaults(r); err != nil {
		return section, err
	}
	section.Latency, err = plotLatency(r)
	return section, err
}

// newTimePlot returns a plot over the seconds of a run.
func newTimePlot(r result, title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.X.Min, p.X.Max = 0, r.took.Seconds()
	return p
}

// plotFaults plots when the faults of each kind began and ended.
func plotFaults(r result) (template.HTML, error) {
	p := newTimePlot(r, "faults")
	var kinds []string
	for _, o := range r.faults {
		kind := string(o.kind)
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
		y := float64(slices.Index(kinds, kind))
		line, err := plotter.NewLine(plotter.XYs{{X: o.from.Seconds(), Y: y}, {X: o.to.Seconds(), Y: y}})
		if err != nil {
			return "", errors.WithStack(err)
		}
		line.Color = plotutil.Color(int(y)) //nolint:misspell // the library's names
		line.Width = faultWidth
		p.Add(line)
	}
	p.NominalY(kinds...)
	return report.SVG(p)
}

// plotLatency plots the latencies of the requests that were served, by class and by the
// time at which they ended.
func plotLatency(r result) (template.HTML, error) {
	p := newTimePlot(r, "latency, 95th percentile, ms")
	p.Legend.Top = true
	for i, class := range latencyClasses(r) {
		line, err := plotter.NewLine(latencyPoints(r, class))
		if err != nil {
			return "", errors.WithStack(err)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // the library's names
		p.Add(line)
		p.Legend.Add(class, line)
	}
	return report.SVG(p)
}

// latencyClasses returns the classes of requests that were served, sorted.
func latencyClasses(r result) []string {
	var classes []string
	for _, l := range r.latencies {
		if !slices.Contains(classes, l.class) {
			classes = append(classes, l.class)
		}
	}
	slices.Sort(classes)
	return classes
}

// latencyPoints returns the latencyQuantile of a class in milliseconds for each interval
// that has a request.
func latencyPoints(r result, class string) plotter.XYs {
	intervals := make([][]time.Duration, r.took/latencyInterval+1)
	for _, l := range r.latencies {
		n := int(l.ended.Sub(r.start) / latencyInterval)
		if l.class == class && n < len(intervals) {
			intervals[n] = append(intervals[n], l.took)
		}
	}
	var points plotter.XYs
	for n, took := range intervals {
		if len(took) == 0 {
			continue
		}
		slices.Sort(took)
		quantile := took[int(latencyQuantile*float64(len(took)))]
		points = append(points, plotter.XY{
			X: (time.Duration(n) * latencyInterval).Seconds(), Y: float64(quantile) / float64(time.Millisecond),
		})
	}
	return points
}
