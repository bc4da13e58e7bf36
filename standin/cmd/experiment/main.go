// Command experiment compares placement policies in virtual time and prints the
// results as Markdown tables. The same flags give the same tables.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"cornelsaddle.example/cornelsaddle/standin/experiment"
)

func main() {
	table := flag.String("table", "targets", "targets, weights, ablation, admission or all")
	duration := flag.Duration("duration", 10*time.Minute, "virtual time over which prompts arrive")
	seeds := flag.Int("seeds", 3, "number of seeds")
	firstSeed := flag.Uint64("seed", 1, "first seed")
	workers := flag.Int("workers", 3, "number of parallel runs")
	conditionFilter := flag.String("only", "", "targets: only the conditions whose name contains this text")
	mixFilter := flag.String("mix", "", "only the mixes whose name contains this text: kivukoni, vltavske")
	flag.Parse()
	s := experiment.Study{Duration: *duration, Workers: *workers, ConditionFilter: *conditionFilter, MixFilter: *mixFilter}
	for i := range *seeds {
		s.Seeds = append(s.Seeds, *firstSeed+uint64(i))
	}
	if !s.Print(os.Stdout, *table) {
		fmt.Fprintln(os.Stderr, "experiment: unknown table", *table)
		os.Exit(2)
	}
}
