package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"sort"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Run is the result of one load run with its label on the page.
type Run struct {
	Label  string
	Result loadgen.Result
}

// NoRunsError reports that Write was called without runs.
type NoRunsError struct{}

// Error implements error.
func (*NoRunsError) Error() string { return "report: no runs" }

// pageData is the input of the page template.
type pageData struct {
	Runs    []Run
	Classes []classData
}

// classData is the input for the section of one class.
type classData struct {
	Name          string
	FirstToken    template.HTML
	Between       template.HTML
	Rows          []rowData
	Organisations []rowData
}

// rowData is the input for one table row.
type rowData struct {
	Run          string
	Organisation string
	Group        loadgen.Group
	// Ratio is the 95th percentile of the time to first token of the first run
	// divided by that of this run; empty if either is missing.
	Ratio string
}

// Write writes the page to w. It shows the runs in the given order and compares
// each with the first. Without runs it returns a NoRunsError.
func Write(w io.Writer, runs []Run) error {
	if len(runs) == 0 {
		return errors.WithStack(&NoRunsError{})
	}
	data := pageData{Runs: runs}
	for _, name := range classes(runs) {
		c, err := classSection(name, runs)
		if err != nil {
			return err
		}
		data.Classes = append(data.Classes, c)
	}
	return errors.WithStack(page.Execute(w, data))
}

// classes returns the names of the classes of all runs, sorted.
func classes(runs []Run) []string {
	seen := make(map[string]bool)
	var names []string
	for _, r := range runs {
		for _, g := range r.Result.Classes {
			if !seen[g.Class] {
				seen[g.Class] = true
				names = append(names, g.Class)
			}
		}
	}
	sort.Strings(names)
	return names
}

func classSection(name string, runs []Run) (classData, error) {
	c := classData{Name: name}
	first := make([]series, 0, len(runs))
	between := make([]series, 0, len(runs))
	base := runs[0].Result.Class(name)
	for _, r := range runs {
		g := r.Result.Class(name)
		c.Rows = append(c.Rows, rowData{Run: r.Label, Group: g, Ratio: p95Ratio(base, g)})
		first = append(first, series{r.Label, g.FirstToken.Buckets})
		between = append(between, series{r.Label, g.BetweenTokens.Buckets})
		c.Organisations = append(c.Organisations, organisationRows(name, r, runs[0])...)
	}
	var err error
	if c.FirstToken, err = plotCumulative("time to first token, "+name, first); err != nil {
		return c, err
	}
	c.Between, err = plotCumulative("time between tokens, "+name, between)
	return c, err
}

func organisationRows(class string, r, base Run) []rowData {
	var rows []rowData
	for _, g := range r.Result.Organisations {
		if g.Class == class {
			rows = append(rows, rowData{r.Label, g.Organisation, g, p95Ratio(findGroup(base, class, g.Organisation), g)})
		}
	}
	return rows
}

func findGroup(r Run, class, organisation string) loadgen.Group {
	for _, g := range r.Result.Organisations {
		if g.Class == class && g.Organisation == organisation {
			return g
		}
	}
	return loadgen.Group{}
}

func p95Ratio(base, g loadgen.Group) string {
	if base.FirstToken.P95Ms == 0 || g.FirstToken.P95Ms == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", base.FirstToken.P95Ms/g.FirstToken.P95Ms)
}
