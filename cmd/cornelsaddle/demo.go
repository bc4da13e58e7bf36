package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/demo"
)

// runDemo runs a sample deployment and its stand-ins in this process and returns
// the exit code.
func runDemo(args []string) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	opts := demo.DefaultOptions()
	opts.Out = os.Stdout
	flags.StringVar(&opts.Deployment, "deployment", opts.Deployment, "sample deployment: "+strings.Join(demo.Names(), " or "))
	flags.BoolVar(&opts.Once, "once", false, "exit after printing the tables")
	flags.Uint64Var(&opts.Seed, "seed", opts.Seed, "random seed of the sample load")
	verbose := flags.Bool("v", false, "write the logs of the VMs to standard error")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	var unknown *demo.UnknownDeploymentError
	if _, err := demo.Lookup(opts.Deployment); errors.As(err, &unknown) || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "cornelsaddle demo: unknown deployment or argument")
		flags.Usage()
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *verbose {
		opts.Logs = os.Stderr
	}
	if err := demo.Run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddle demo:", err)
		return exitFailed
	}
	return exitDone
}
