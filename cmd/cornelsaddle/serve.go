package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/node"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// serve runs an entry VM until it has shut down, and returns the exit code.
func serve(args []string) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	file := flags.String("settings", "", "settings file (JSON), see docs/operations/settings.md")
	check := flags.Bool("check", false, "check the settings file and exit")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "cornelsaddle serve: -settings is required; arguments other than flags are not accepted")
		return exitUsage
	}
	s, err := settings.Load(*file)
	if err == nil && !*check {
		err = runNode(s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddle serve:", err)
		return exitFailed
	}
	return exitDone
}

// runNode runs the VM until it has shut down. The first SIGINT or SIGTERM starts
// a graceful shutdown, the second one ends it immediately.
func runNode(s settings.Settings) error {
	log, err := event.New(os.Stdout, s.Log.Format, s.Log.Level, s.VM.ID)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	n, err := node.Start(s, log)
	if err != nil {
		return err
	}
	return awaitShutdown(n, signals)
}

// ShutdownAbortedError reports how many requests in flight were aborted by a second signal.
type ShutdownAbortedError struct{ Requests int }

// Error implements error.
func (e *ShutdownAbortedError) Error() string {
	return fmt.Sprintf("graceful shutdown aborted by a second signal; %d requests in flight were aborted", e.Requests)
}

// awaitShutdown waits until the node has shut down. It begins a graceful shutdown
// on the first signal; on the second it stops the node immediately and returns a
// ShutdownAbortedError.
func awaitShutdown(n *node.Node, signals <-chan os.Signal) error {
	first := true
	for {
		select {
		case <-n.Done():
			n.Close()
			return nil
		case <-signals:
			if !first {
				return errors.WithStack(&ShutdownAbortedError{n.Kill()})
			}
			first = false
			n.BeginDrain()
		}
	}
}
