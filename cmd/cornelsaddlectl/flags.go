package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// flagSet returns an empty flag set for a command. synopsis is printed after the
// command name in its usage text.
func flagSet(name, synopsis string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: cornelsaddlectl %s %s\n", name, synopsis)
		flags.PrintDefaults()
	}
	return flags
}

// parse parses a command's flags. If it returns false, the command must return
// the given exit code.
func parse(flags *flag.FlagSet, args []string) (int, bool) {
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone, false
	case err != nil:
		return exitUsage, false
	}
	return exitDone, true
}

// usageError prints what is wrong with the command line and the usage text, and
// returns exitUsage.
func usageError(flags *flag.FlagSet, reason string) int {
	fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %s\n", flags.Name(), reason)
	flags.Usage()
	return exitUsage
}

// fail prints the error and returns exitFailed.
func fail(flags *flag.FlagSet, err error) int {
	fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %v\n", flags.Name(), err)
	return exitFailed
}

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}
