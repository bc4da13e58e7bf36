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

// Run is one result with the label under which the page shows it.
type Run struct {
	Label  string
	Result loadgen.Result
}

// EmptyError says that there is nothing to report.
type EmptyError struct{}

// Error implements error.
func (*EmptyError) Error() string { return "report: no runs" }

// pageData is what the page shows.
type pageData struct {
	Runs    []Run
	Classes []classData
}

// classData is the section of one class.
type classData struct {
	Name          string
	FirstToken    template.HTML
	Between       template.HTML
	Rows          []rowData
	Organisations []rowData
}

// rowData is one line of a table.
type rowData struct {
	Run          string
	Organisation string
	Group        loadgen.Group
	// Ratio is the 95th percentile of the time to first token of the first run
	// over this one's; empty where either has none.
	Ratio string
}

// Write writes the page. The runs are shown in the order given; the first is
// the one that the others are compared with.
func Write(w io.Writer, runs []Run) error {
	if len(runs) == 0 {
		return errors.WithStack(&EmptyError{})
	}
	data := pageData{Runs: runs}
	for _, name := range classes(runs) {
		c, err := section(name, runs)
		if err != nil {
			return err
		}
		data.Classes = append(data.Classes, c)
	}
	return errors.WithStack(page.Execute(w, data))
}

// classes lists the classes of all runs by name.
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

func section(name string, runs []Run) (classData, error) {
	c := classData{Name: name}
	first := make([]series, 0, len(runs))
	between := make([]series, 0, len(runs))
	base := runs[0].Result.Class(name)
	for _, r := range runs {
		g := r.Result.Class(name)
		c.Rows = append(c.Rows, rowData{Run: r.Label, Group: g, Ratio: ratio(base, g)})
		first = append(first, series{r.Label, g.FirstToken.Bars})
		between = append(between, series{r.Label, g.Between.Bars})
		c.Organisations = append(c.Organisations, organisations(name, r, runs[0])...)
	}
	var err error
	if c.FirstToken, err = cumulative("time to first token, "+name, first); err != nil {
		return c, err
	}
	c.Between, err = cumulative("time between tokens, "+name, between)
	return c, err
}

func organisations(class string, r, base Run) []rowData {
	var rows []rowData
	for _, g := range r.Result.Organisations {
		if g.Class == class {
			rows = append(rows, rowData{r.Label, g.Organisation, g, ratio(find(base, class, g.Organisation), g)})
		}
	}
	return rows
}

func find(r Run, class, organisation string) loadgen.Group {
	for _, g := range r.Result.Organisations {
		if g.Class == class && g.Organisation == organisation {
			return g
		}
	}
	return loadgen.Group{}
}

func ratio(base, g loadgen.Group) string {
	if base.FirstToken.P95Ms == 0 || g.FirstToken.P95Ms == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", base.FirstToken.P95Ms/g.FirstToken.P95Ms)
}
