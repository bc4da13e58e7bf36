package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/demo"
)

// runDemo runs a deployment with its stand-ins in this process.
func runDemo(args []string) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	deployment := flags.String("deployment", "kivukoni", "which deployment: "+strings.Join(demo.Names(), " or "))
	once := flags.Bool("once", false, "end after the table")
	seed := flags.Uint64("seed", 1, "seed of the sample load")
	verbose := flags.Bool("v", false, "write the VMs' logs to standard error")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	var unknown *demo.UnknownDeploymentError
	if _, err := demo.Lookup(*deployment); errors.As(err, &unknown) || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "cornelsaddle demo: unknown deployment or argument")
		flags.Usage()
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logs := io.Discard
	if *verbose {
		logs = os.Stderr
	}
	err := demo.Run(ctx, demo.Options{Deployment: *deployment, Once: *once, Seed: *seed, Out: os.Stdout, Logs: logs})
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddle demo:", err)
		return exitFailed
	}
	return exitDone
}
