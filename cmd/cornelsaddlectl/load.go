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

// resultMode is the permission of result files.
const resultMode = 0o644

// load drives callers' listeners with a mix.
func load(args []string) int {
	flags := flagSet("load", "-mix FILE -callers IP:PORT[,IP:PORT...] [flags]")
	file := flags.String("mix", "", "mix file (JSON), see docs/operations/load.md")
	callers := flags.String("callers", "", "callers' addresses of entry VMs, used in turn")
	out := flags.String("out", "", "file for the result (JSON), for cornelsaddlectl report")
	seed := flags.Uint64("seed", 0, "seed in place of the mix's; 0 to keep it")
	textSeed := flags.Uint64("text-seed", 0, "seed of the texts in place of the mix's; 0 to keep it")
	duration := flags.Duration("duration", 0, "time over which requests are sent, in place of the mix's; 0 to keep it")
	requests := flags.Int("max-requests", 0, "most requests, in place of the mix's; 0 to keep it")
	verify := flags.Bool("verify", false, "compare each answer with the text of the stand-in engines")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	quiet := flags.Bool("quiet", false, "print no progress")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	addresses, err := addresses(*callers)
	if err != nil {
		return misuse(flags, err.Error())
	}
	if *file == "" || flags.NArg() > 0 {
		return misuse(flags, "-mix is required, and no arguments besides flags")
	}
	mix, err := loadgen.ReadMix(*file)
	if err != nil {
		return fail(flags, err)
	}
	override(&mix, *seed, *textSeed, *duration, *requests)
	opts := loadgen.Options{Addresses: addresses}
	if *verify {
		opts.Oracle = engine.AnswerText
	}
	if !*quiet {
		opts.Progress = progress
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := loadgen.Run(ctx, mix, opts)
	if err != nil {
		return fail(flags, err)
	}
	if err := write(*out, *asJSON, &result); err != nil {
		return fail(flags, err)
	}
	if !result.AnswersValid() {
		return fail(flags, errors.WithStack(&unsoundError{result.Totals}))
	}
	return exitDone
}

// unsoundError says that answers were broken or wrong.
type unsoundError struct{ counts loadgen.Counts }

// Error implements error.
func (e *unsoundError) Error() string {
	return fmt.Sprintf("%d answers were broken and %d wrong", e.counts.Broken, e.counts.Wrong)
}

// addressError says that an address is not an IP and port.
type addressError struct{ value string }

// Error implements error.
func (e *addressError) Error() string {
	return fmt.Sprintf("-callers: %q is not an IP and port", e.value)
}

func addresses(list string) ([]string, error) {
	var out []string
	for _, a := range strings.Split(list, ",") {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, errors.WithStack(&addressError{a})
		}
		out = append(out, a)
	}
	return out, nil
}

func override(m *loadgen.Mix, seed, textSeed uint64, duration time.Duration, requests int) {
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

func progress(p loadgen.Progress) {
	fmt.Fprintf(os.Stderr, "sent %d of %d, finished %d\n", p.Sent, p.Planned, p.Finished)
}

// write writes the result to the file, if one is named, and to standard output.
func write(file string, asJSON bool, r *loadgen.Result) error {
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

func printResult(out io.Writer, r *loadgen.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequests\twhole\tfailed\tbroken\twrong\tnot sent\tfirst token p50\tp95\tp99, ms\t")
	for _, g := range r.Classes {
		c := g.Counts
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", g.Class, c.Requests, c.Whole, c.Failed,
			c.Broken, c.Wrong, c.Skipped, g.FirstToken.P50Ms, g.FirstToken.P95Ms, g.FirstToken.P99Ms)
	}
	_ = w.Flush()
	for _, g := range r.Classes {
		for _, code := range g.Codes {
			fmt.Fprintf(out, "%s: %d × %s\n", g.Class, code.Count, code.Code)
		}
	}
}
