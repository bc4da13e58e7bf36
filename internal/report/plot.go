package report

import (
	"bytes"
	"html/template"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the "svg" format

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

const (
	plotWidth  = 450 * vg.Length(1) // points
	plotHeight = 255 * vg.Length(1) // points
	lineWidth  = 1.5
	// axisMargin is the factor by which the x axis extends beyond the data on
	// both sides.
	axisMargin = 1.25
)

// series is one line of a plot.
type series struct {
	name    string
	buckets []loadgen.Bucket
}

// plotCumulative plots the cumulative distribution of each series: the share of
// requests, from 0 to 1, over the time in milliseconds, on a logarithmic axis. It
// returns an SVG element, or an empty string if no series has a point to plot.
func plotCumulative(title string, list []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of requests"
	p.Y.Min = 0
	p.Y.Max = 1
	p.Legend.Left = true
	p.Legend.Top = true
	shown := 0
	for i, s := range list {
		xys := cumulativePoints(s.buckets)
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", errors.WithStack(err)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // the library's names
		line.Dashes = plotutil.Dashes(i)
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(s.name, line)
		shown++
	}
	if shown == 0 {
		return "", nil
	}
	// A logarithmic axis requires a non-empty range.
	p.X.Min /= axisMargin
	p.X.Max *= axisMargin
	return SVG(p)
}

// cumulativePoints returns the steps of the cumulative distribution of the
// buckets. Buckets that a logarithmic axis can't show are left out.
func cumulativePoints(buckets []loadgen.Bucket) plotter.XYs {
	total := int64(0)
	for _, b := range buckets {
		total += max(0, b.Count)
	}
	xys := make(plotter.XYs, 0, 2*len(buckets))
	sum := int64(0)
	for _, b := range buckets {
		if b.ToMs <= 0 || b.Count <= 0 {
			continue
		}
		xys = append(xys, plotter.XY{X: b.ToMs, Y: float64(sum) / float64(total)})
		sum += b.Count
		xys = append(xys, plotter.XY{X: b.ToMs, Y: float64(sum) / float64(total)})
	}
	return xys
}

// SVG returns the plot as an SVG element without the XML prologue.
func SVG(p *plot.Plot) (template.HTML, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.WithStack(err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", errors.WithStack(err)
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
