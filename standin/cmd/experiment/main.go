// Command experiment compares placement policies in virtual time and prints a
// table of each question in Markdown. The same flags give the same table.
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
	first := flag.Uint64("seed", 1, "first seed")
	workers := flag.Int("workers", 3, "runs at a time")
	only := flag.String("only", "", "targets: only the conditions whose name contains it")
	mix := flag.String("mix", "", "only the mixes whose name contains it: kivukoni, vltavske")
	flag.Parse()
	s := experiment.Study{Duration: *duration, Workers: *workers, ConditionFilter: *only, MixFilter: *mix}
	for i := range *seeds {
		s.Seeds = append(s.Seeds, *first+uint64(i))
	}
	if !s.Print(os.Stdout, *table) {
		fmt.Fprintln(os.Stderr, "experiment: no such table", *table)
		os.Exit(2)
	}
}
