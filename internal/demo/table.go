package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

// tableClasses are the columns, in order.
var tableClasses = []string{classShort, classMedium, classLong, classOversize}

// printTables prints the time to first token by length class and organisation,
// and the slowdown of short prompts.
func printTables(out io.Writer, d *Deployment, m *measured) {
	together := &m.together
	fmt.Fprintf(out, "\nTime to first token in ms, p50 / p95 (engines run %d times as fast as real ones)\n\n", engineSpeed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row(w, "organisation", func(class string) string { return class })
	for _, o := range d.Organisations {
		row(w, o.Name, func(class string) string { return cell(find(together, class, o.Name)) })
	}
	row(w, "all", func(class string) string { return cell(together.Class(class)) })
	row(w, "requests", func(class string) string { return fmt.Sprint(together.Class(class).Counts.Requests) })
	row(w, "answered whole", func(class string) string { return fmt.Sprint(together.Class(class).Counts.Whole) })
	_ = w.Flush()
	printSlowdown(out, m)
	printEnds(out, together)
}

func row(w io.Writer, name string, value func(class string) string) {
	fmt.Fprintf(w, "%s\t", name)
	for _, class := range tableClasses {
		fmt.Fprintf(w, "%s\t", value(class))
	}
	fmt.Fprintln(w)
}

func cell(g loadgen.Group) string {
	if g.FirstToken.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f / %.0f", g.FirstToken.P50Ms, g.FirstToken.P95Ms)
}

func find(r *loadgen.Result, class, organisation string) loadgen.Group {
	for _, g := range r.Organisations {
		if g.Class == class && g.Organisation == organisation {
			return g
		}
	}
	return loadgen.Group{}
}

func printSlowdown(out io.Writer, m *measured) {
	alone := m.alone.Class(classShort).FirstToken
	medium := m.medium.Class(classShort).FirstToken
	together := m.together.Class(classShort).FirstToken
	fmt.Fprint(out, "\nShort prompts' time to first token, and its slowdown (1 is none)\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tp50\tp95\tp99\t")
	printTimes(w, "alone, ms", alone)
	printTimes(w, "with medium ones, ms", medium)
	printTimes(w, "with medium and long ones, ms", together)
	printRatios(w, "alone ÷ with medium ones", alone, medium)
	printRatios(w, "alone ÷ with medium and long ones", alone, together)
	printRatios(w, "with medium ÷ with medium and long ones", medium, together)
	_ = w.Flush()
}

func printTimes(w io.Writer, name string, q loadgen.Quantiles) {
	fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t\n", name, q.P50Ms, q.P95Ms, q.P99Ms)
}

func printRatios(w io.Writer, name string, a, b loadgen.Quantiles) {
	fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t\n", name, ratio(a.P50Ms, b.P50Ms), ratio(a.P95Ms, b.P95Ms), ratio(a.P99Ms, b.P99Ms))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func printEnds(out io.Writer, r *loadgen.Result) {
	t := r.Totals
	fmt.Fprintf(out, "\n%d requests in %.1f s: %d whole and right, %d refused or failed, %d broken, %d wrong, %d not sent\n",
		t.Requests, float64(r.ElapsedMs)/1000, t.Whole, t.Failed, t.Broken, t.Wrong, t.Skipped)
	for _, g := range r.Classes {
		for _, c := range g.Codes {
			fmt.Fprintf(out, "  %s: %d × %s\n", g.Class, c.Count, c.Code)
		}
	}
}
