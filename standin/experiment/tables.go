package experiment

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"cornelsaddle.example/cornelsaddle/core/admission"
)

// Targets of the two deployments: for short prompts the maximum slowdown of the
// p99 time to first token, for long prompts the maximum ratio of the time to
// first token to that of the best baseline.
const (
	maxShortSlowdown = 1.5
	maxLongRatio     = 0.9
)

// Print runs the study for a table and prints the table in Markdown; "all"
// stands for every table. It reports whether the table exists.
func (s *Study) Print(w io.Writer, table string) bool {
	tables := []struct {
		name  string
		print func(io.Writer)
	}{
		{"targets", s.printTargets},
		{"weights", s.printWeights},
		{"ablation", s.printAblation},
		{"admission", s.printAdmission},
	}
	found := false
	for _, t := range tables {
		if table == t.name || table == "all" {
			t.print(w)
			found = true
		}
	}
	return found
}

// measurement holds a variant's results with all prompts, and without long and
// oversize prompts.
type measurement struct {
	name              string
	full, withoutLong *task
}

// slowdown is the p99 time to first token of short prompts, relative to that
// without long and oversize prompts.
func (e *measurement) slowdown() float64 {
	return e.full.ttft(Short, p99) / e.withoutLong.ttft(Short, p99)
}

// measure runs each variant with all prompts, and without long and oversize
// prompts.
func (s *Study) measure(m Mix, load float64, cond condition, list []variant) []*measurement {
	entries := make([]*measurement, 0, len(list))
	tasks := make([]*task, 0, 2*len(list))
	for _, c := range list {
		with := s.newTask(m, load, c.set, cond.set)
		e := &measurement{c.name, with, s.withoutLong(with)}
		entries = append(entries, e)
		tasks = append(tasks, e.full, e.withoutLong)
	}
	s.run(tasks)
	return entries
}

// printTargets compares the predictive policy with the best baseline under each
// condition, and prints whether the deployments' targets are met.
func (s *Study) printTargets(w io.Writer) {
	for _, m := range s.selectedMixes() {
		for _, load := range loads {
			for _, cond := range conditions {
				if strings.Contains(cond.name, s.ConditionFilter) {
					s.printCondition(w, m, load, cond)
				}
			}
		}
	}
}

func (s *Study) printCondition(w io.Writer, m Mix, load float64, cond condition) {
	entries := s.measure(m, load, cond, append(baselines(), variant{"predictive", predictiveWith(-1, nil)}))
	fmt.Fprintf(w, "\n### %s, load %.2f, %s\n\n", m.Name, load, cond.name)
	fmt.Fprintln(w, "| policy | short p50/p95/p99 s | short p99 alone s | slowdown | medium p50/p95/p99 s | long p50/p95/p99 s | oversize p50/p95 s | goodput | refused |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, e := range entries {
		e.print(w)
	}
	last := len(entries) - 1
	s.printVerdict(w, m, entries[last], entries[:last])
}

func (e *measurement) print(w io.Writer) {
	t := e.full
	fmt.Fprintf(w, "| %s | %s | %.2f | %.2f | %s | %s | %.1f/%.1f | %.4f | %.4f |\n", e.name,
		t.percentiles(Short), e.withoutLong.ttft(Short, p99), e.slowdown(),
		t.percentiles(Medium), t.percentiles(Long),
		t.ttft(Oversize, p50), t.ttft(Oversize, p95), t.goodput(), t.refused())
}

func (t *task) percentiles(c Class) string {
	return fmt.Sprintf("%.2f/%.2f/%.2f", t.ttft(c, p50), t.ttft(c, p95), t.ttft(c, p99))
}

// printVerdict prints each target with the measured value and whether it is
// met.
func (s *Study) printVerdict(w io.Writer, m Mix, own *measurement, others []*measurement) {
	goodput, alone := 0.0, math.Inf(1)
	median, tail := math.Inf(1), math.Inf(1)
	for _, e := range others {
		goodput = max(goodput, e.full.goodput())
		alone = min(alone, e.withoutLong.ttft(Short, p99))
		median = min(median, e.full.ttft(Long, p50))
		tail = min(tail, e.full.ttft(Long, p95))
	}
	fmt.Fprintln(w)
	printCheck(w, "goodput", own.full.goodput(), ">=", goodput, own.full.goodput() >= goodput)
	if m.Name == Kivukoni.Name {
		printCheck(w, "short p99 slowdown", own.slowdown(), "<=", maxShortSlowdown, own.slowdown() <= maxShortSlowdown)
		p := own.full.ttft(Short, p99)
		printCheck(w, "short p99 against the best baseline's alone", p, "<=", alone, p <= alone)
		return
	}
	printCheck(w, "long median ratio", own.full.ttft(Long, p50)/median, "<=", maxLongRatio, own.full.ttft(Long, p50) <= maxLongRatio*median)
	printCheck(w, "long p95 ratio", own.full.ttft(Long, p95)/tail, "<=", maxLongRatio, own.full.ttft(Long, p95) <= maxLongRatio*tail)
}

func printCheck(w io.Writer, name string, got float64, op string, want float64, met bool) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
	}
	fmt.Fprintf(w, "- %s: %.4f %s %.4f: %s\n", name, got, op, want, verdict)
}

// printWeights prints the results for a range of delay weights.
func (s *Study) printWeights(w io.Writer) {
	values := []float64{0, 0.1, 0.3, 1, 3, 10}
	for _, m := range s.selectedMixes() {
		for _, load := range loads {
			fmt.Fprintf(w, "\n### %s, load %.2f, by delay weight\n\n", m.Name, load)
			fmt.Fprintln(w, "| w | short p50/p95/p99 s | slowdown | medium p50/p95/p99 s | long p50/p95/p99 s | goodput |")
			fmt.Fprintln(w, "|---|---|---|---|---|---|")
			s.printWeightSweep(w, m, load, values)
		}
	}
}

func (s *Study) printWeightSweep(w io.Writer, m Mix, load float64, values []float64) {
	list := make([]variant, 0, len(values))
	for _, v := range values {
		list = append(list, variant{fmt.Sprint(v), predictiveWith(v, nil)})
	}
	for _, e := range s.measure(m, load, conditions[0], list) {
		fmt.Fprintf(w, "| %s | %s | %.2f | %s | %s | %.4f |\n", e.name, e.full.percentiles(Short),
			e.slowdown(), e.full.percentiles(Medium), e.full.percentiles(Long), e.full.goodput())
	}
}

// printAblation prints the results with one part of the policy disabled at a
// time.
func (s *Study) printAblation(w io.Writer) {
	parts := []variant{
		{"whole", predictiveWith(-1, nil)},
		{"long prompts do not wait for memory", predictiveWith(-1, func(c *Cell) { c.Placement.Headroom = 0 })},
		{"peers told of long prefill with the digest", predictiveWith(-1, func(c *Cell) { c.NoNotices = true })},
		{"no draw among near-equal scores", predictiveWith(-1, func(c *Cell) { c.Placement.TieMargin = 0 })},
		{"a sample of 5 endpoints", predictiveWith(-1, func(c *Cell) { c.Placement.Sample = 5 })},
		{"no bound on overtaking", predictiveWith(-1, func(c *Cell) { c.Placement.OvertakeFactor = 0 })},
		{"w = 0", predictiveWith(0, nil)},
		{"no digests", predictiveWith(-1, func(c *Cell) { c.NoDigests = true })},
		{"no cache knowledge", predictiveWith(-1, func(c *Cell) { c.NoCacheEvents = true })},
	}
	cond := conditions[len(conditions)-1]
	for _, m := range s.selectedMixes() {
		for _, load := range loads {
			s.printAblationTable(w, m, load, cond, parts)
		}
	}
}

func (s *Study) printAblationTable(w io.Writer, m Mix, load float64, cond condition, parts []variant) {
	entries := s.measure(m, load, cond, parts)
	fmt.Fprintf(w, "\n### %s, load %.2f, %s: parts taken away\n\n", m.Name, load, cond.name)
	fmt.Fprintln(w, "| policy | short p50/p95/p99 s | short p99 alone s | slowdown | medium p50/p95/p99 s | long p50/p95/p99 s | oversize p50/p95 s | goodput | refused |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, e := range entries {
		e.print(w)
	}
}

// printAdmission compares admission policies at loads below and above capacity.
func (s *Study) printAdmission(w io.Writer) {
	withAdmission := func(change func(*admission.Config)) func(*Cell) {
		cfg := admission.DefaultConfig()
		if change != nil {
			change(&cfg)
		}
		return predictiveWith(-1, func(c *Cell) { c.Admission = &cfg })
	}
	variants := []variant{
		{"least-outstanding, priorities, all admitted", func(c *Cell) { c.Policy, c.Priorities = LeastOutstanding, true }},
		{"predictive, all admitted", predictiveWith(-1, nil)},
		{"by prediction alone", withAdmission(func(c *admission.Config) { c.FullPressure = 0 })},
		{"by prediction and shares", withAdmission(nil)},
	}
	for _, m := range s.selectedMixes() {
		for _, load := range []float64{0.75, 0.9, 1.2, 1.5} {
			s.printAdmissionTable(w, m, load, variants)
		}
	}
}

func (s *Study) printAdmissionTable(w io.Writer, m Mix, load float64, variants []variant) {
	tasks := make([]*task, 0, len(variants))
	for _, c := range variants {
		tasks = append(tasks, s.newTask(m, load, c.set, func(c *Cell) { c.VMs, c.Lag = 4, time.Second }))
	}
	s.run(tasks)
	fmt.Fprintf(w, "\n### %s, load %.2f, four VMs, reports 1 s late: admission\n\n", m.Name, load)
	fmt.Fprintln(w, "| admission | goodput | goodput in tokens | refused | refused though servable | admitted though missed | large organisations in time | small ones |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for i, t := range tasks {
		tokens := t.mean(func(r *Result) float64 { return float64(r.InTimeTokens) / float64(r.Tokens) })
		fmt.Fprintf(w, "| %s | %.4f | %.4f | %.4f | %.4f | %.4f | %.4f | %.4f |\n", variants[i].name, t.goodput(), tokens, t.refused(),
			t.mean((*Result).ServableShare), t.mean((*Result).LateShare),
			t.mean(func(r *Result) float64 { return r.Large.Share() }), t.mean(func(r *Result) float64 { return r.Small.Share() }))
	}
}
