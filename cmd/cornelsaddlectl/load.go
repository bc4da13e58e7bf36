package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// resultMode is the file mode of result files and report pages.
const resultMode = 0o644

// load sends the requests of a mix to the callers' listeners of entry VMs and
// prints the counts and latencies.
func load(args []string) int {
	flags := flagSet("load", "-mix FILE -callers IP:PORT[,IP:PORT...] [flags]")
	file := flags.String("mix", "", "mix file (JSON), see docs/operations/load.md")
	callers := flags.String("callers", "", "addresses of the callers' listeners of entry VMs, IP:PORT, comma-separated; used in turn")
	out := flags.String("out", "", "file to write the result to (JSON), for cornelsaddlectl report")
	seed := flags.Uint64("seed", 0, "random seed; 0 for the value of the mix")
	textSeed := flags.Uint64("text-seed", 0, "random seed of the prompt texts; 0 for the value of the mix")
	duration := flags.Duration("duration", 0, "time over which requests are sent; 0 for the value of the mix")
	requests := flags.Int("max-requests", 0, "maximum number of requests; 0 for the value of the mix")
	verify := flags.Bool("verify", false, "compare each answer with the expected text of the stand-in engines")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	quiet := flags.Bool("quiet", false, "do not print progress")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	addresses, err := parseAddresses(*callers)
	if err != nil {
		return usageError(flags, err.Error())
	}
	if *file == "" || flags.NArg() > 0 {
		return usageError(flags, "-mix is required; arguments other than flags are not accepted")
	}
	mix, err := loadgen.ReadMix(*file)
	if err != nil {
		return fail(flags, err)
	}
	overrideMix(&mix, *seed, *textSeed, *duration, *requests)
	opts := loadgen.Options{Addresses: addresses}
	if *verify {
		opts.Oracle = engine.AnswerText
	}
	if !*quiet {
		opts.Progress = printProgress
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := loadgen.Run(ctx, mix, opts)
	if err != nil {
		return fail(flags, err)
	}
	if err := writeResult(*out, *asJSON, &result); err != nil {
		return fail(flags, err)
	}
	if !result.AnswersValid() {
		return fail(flags, errors.WithStack(&incorrectAnswersError{result.Totals}))
	}
	return exitDone
}

// incorrectAnswersError reports that answers were broken or wrong.
type incorrectAnswersError struct{ counts loadgen.Counts }

// Error implements error.
func (e *incorrectAnswersError) Error() string {
	return fmt.Sprintf("%d answers were broken and %d wrong", e.counts.Broken, e.counts.Wrong)
}

// addressError reports that an address of -callers is not an IP and port.
type addressError struct{ value string }

// Error implements error.
func (e *addressError) Error() string {
	return fmt.Sprintf("-callers: %q is not an IP and port", e.value)
}

// parseAddresses splits a comma-separated list of addresses, each an IP and port.
func parseAddresses(list string) ([]string, error) {
	var out []string
	for _, a := range strings.Split(list, ",") {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, errors.WithStack(&addressError{a})
		}
		out = append(out, a)
	}
	return out, nil
}

// overrideMix replaces the values of the mix for which a flag is set.
func overrideMix(m *loadgen.Mix, seed, textSeed uint64, duration time.Duration, requests int) {
	if seed != 0 {
		m.Seed = seed
	}
	if textSeed != 0 {
		m.TextSeed = textSeed
	}
	if duration > 0 {
		m.DurationMs = duration.Milliseconds()
	}
	if requests > 0 {
		m.MaxRequests = requests
	}
}

func printProgress(p loadgen.Progress) {
	fmt.Fprintf(os.Stderr, "sent %d of %d, finished %d\n", p.Sent, p.Planned, p.Finished)
}

// writeResult writes the result to the file, if one is named, and to standard
// output as JSON or as a table.
func writeResult(file string, asJSON bool, r *loadgen.Result) error {
	if file != "" {
		data, err := json.Marshal(r)
		if err != nil {
			return errors.WithStack(err)
		}
		if err := os.WriteFile(file, data, resultMode); err != nil {
			return errors.WithStack(err)
		}
	}
	if asJSON {
		return printJSON(r)
	}
	printResult(os.Stdout, r)
	return nil
}

// printResult prints one line per class and the number of failures per error code.
func printResult(out io.Writer, r *loadgen.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequests\twhole\tfailed\tbroken\twrong\tnot sent\tfirst token p50\tp95\tp99, ms\t")
	for _, g := range r.Classes {
		c := g.Counts
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", g.Class, c.Requests, c.Complete, c.Failed,
			c.Broken, c.Wrong, c.Skipped, g.FirstToken.P50Ms, g.FirstToken.P95Ms, g.FirstToken.P99Ms)
	}
	_ = w.Flush()
	for _, g := range r.Classes {
		for _, code := range g.Codes {
			fmt.Fprintf(out, "%s: %d × %s\n", g.Class, code.Count, code.Code)
		}
	}
}
