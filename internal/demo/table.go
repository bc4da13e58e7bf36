package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

// tableClasses are the length classes shown as columns, in order.
var tableClasses = []string{classShort, classMedium, classLong, classOversize}

// printTables prints the time to first token by length class and organisation,
// the slowdown of short prompts, and the counts of requests by outcome.
func printTables(out io.Writer, d *Deployment, m *phaseResults) {
	allClasses := &m.allClasses
	fmt.Fprintf(out, "\nTime to first token in ms, p50 / p95 (engines run %d times as fast as real ones)\n\n", engineSpeed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRow(w, "organisation", func(class string) string { return class })
	for _, o := range d.Organisations {
		writeRow(w, o.Name, func(class string) string { return formatQuantiles(findGroup(allClasses, class, o.Name)) })
	}
	writeRow(w, "all", func(class string) string { return formatQuantiles(allClasses.Class(class)) })
	writeRow(w, "requests", func(class string) string { return fmt.Sprint(allClasses.Class(class).Counts.Requests) })
	writeRow(w, "complete answers", func(class string) string { return fmt.Sprint(allClasses.Class(class).Counts.Complete) })
	_ = w.Flush()
	printSlowdown(out, m)
	printTotals(out, allClasses)
}

func writeRow(w io.Writer, name string, value func(class string) string) {
	fmt.Fprintf(w, "%s\t", name)
	for _, class := range tableClasses {
		fmt.Fprintf(w, "%s\t", value(class))
	}
	fmt.Fprintln(w)
}

func formatQuantiles(g loadgen.Group) string {
	if g.FirstToken.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f / %.0f", g.FirstToken.P50Ms, g.FirstToken.P95Ms)
}

func findGroup(r *loadgen.Result, class, organisation string) loadgen.Group {
	for _, g := range r.Organisations {
		if g.Class == class && g.Organisation == organisation {
			return g
		}
	}
	return loadgen.Group{}
}

func printSlowdown(out io.Writer, m *phaseResults) {
	shortOnly := m.shortOnly.Class(classShort).FirstToken
	shortAndMedium := m.shortAndMedium.Class(classShort).FirstToken
	allClasses := m.allClasses.Class(classShort).FirstToken
	fmt.Fprint(out, "\nTime to first token of short prompts, and its slowdown (1: no slowdown)\n\n")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tp50\tp95\tp99\t")
	printTimes(w, "alone, ms", shortOnly)
	printTimes(w, "with medium ones, ms", shortAndMedium)
	printTimes(w, "with medium and long ones, ms", allClasses)
	printRatios(w, "with medium ones ÷ alone", shortAndMedium, shortOnly)
	printRatios(w, "with medium and long ones ÷ alone", allClasses, shortOnly)
	printRatios(w, "with medium and long ones ÷ with medium ones", allClasses, shortAndMedium)
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

func printTotals(out io.Writer, r *loadgen.Result) {
	t := r.Totals
	fmt.Fprintf(out, "\n%d requests in %.1f s: %d complete and correct, %d refused or failed, %d broken, %d wrong, %d not sent\n",
		t.Requests, float64(r.ElapsedMs)/1000, t.Complete, t.Failed, t.Broken, t.Wrong, t.Skipped)
	for _, g := range r.Classes {
		for _, c := range g.Codes {
			fmt.Fprintf(out, "  %s: %d × %s\n", g.Class, c.Count, c.Code)
		}
	}
}
