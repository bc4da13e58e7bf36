package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// flagSet returns the flags of a command; synopsis is its line of usage.
func flagSet(name, synopsis string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: cornelsaddlectl %s %s\n", name, synopsis)
		flags.PrintDefaults()
	}
	return flags
}

// parse reads a command's flags. When it returns false, the command ends with
// the exit code.
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

// misuse says what is wrong with the command line.
func misuse(flags *flag.FlagSet, reason string) int {
	fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %s\n", flags.Name(), reason)
	flags.Usage()
	return exitUsage
}

// fail says why the command failed.
func fail(flags *flag.FlagSet, err error) int {
	fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %v\n", flags.Name(), err)
	return exitFailed
}

// printJSON writes v for machines.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}
