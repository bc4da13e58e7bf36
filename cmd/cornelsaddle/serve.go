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

// serve runs an entry VM until it is told to stop.
func serve(args []string) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	file := flags.String("settings", "", "settings file (JSON), see docs/operations/settings.md")
	check := flags.Bool("check", false, "check the settings file and end")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "cornelsaddle serve: -settings is required, and no arguments besides flags")
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

// runNode runs the VM until a signal; a second one cuts its drain short.
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
	return awaitEnd(n, signals)
}

// CutError says that requests were cut off by a second signal.
type CutError struct{ Requests int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("ended by a second signal; %d requests were cut off", e.Requests)
}

// awaitEnd shuts the node down gracefully on the first signal, and at once on
// the second.
func awaitEnd(n *node.Node, signals <-chan os.Signal) error {
	first := true
	for {
		select {
		case <-n.Done():
			n.Close()
			return nil
		case <-signals:
			if !first {
				return errors.WithStack(&CutError{n.Kill()})
			}
			first = false
			n.BeginDrain()
		}
	}
}
