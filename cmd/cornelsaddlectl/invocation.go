package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// invocation holds the flags of one command and prints its result as text or
// JSON.
type invocation struct {
	*flag.FlagSet
	usage string
	json  *bool
}

// newInvocation returns an invocation with the flag -json, which all such commands
// have.
func newInvocation(name, usage string) *invocation {
	c := &invocation{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), usage: usage}
	c.json = c.Bool("json", false, "print JSON")
	c.Usage = func() {
		fmt.Fprintf(c.Output(), "usage: cornelsaddlectl %s\n\nflags:\n", usage)
		c.PrintDefaults()
	}
	return c
}

// parse parses flags and positional arguments in any order. It returns the
// positional arguments and a negative number or, if the command must end, an exit
// code.
func (c *invocation) parse(args []string, positional int) ([]string, int) {
	var rest []string
	for {
		if err := c.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, exitDone
			}
			return nil, exitUsage
		}
		if c.NArg() == 0 {
			break
		}
		rest = append(rest, c.Arg(0))
		args = c.Args()[1:]
	}
	if len(rest) != positional {
		return nil, c.usageError("expected %d arguments, got %d", positional, len(rest))
	}
	return rest, -1
}

// usageError prints what is wrong with the command line and the usage text, and
// returns exitUsage.
func (c *invocation) usageError(format string, args ...any) int {
	fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %s\n", c.Name(), fmt.Sprintf(format, args...))
	c.Usage()
	return exitUsage
}

// failure is the JSON output of a failed command.
type failure struct {
	Error      string                    `json:"error"`
	Violations []configuration.Violation `json:"violations,omitempty"`
}

// fail prints the error, with -json as a failure, and returns exitFailed.
func (c *invocation) fail(err error) int {
	if !*c.json {
		fmt.Fprintf(os.Stderr, "cornelsaddlectl %s: %v\n", c.Name(), err)
		return exitFailed
	}
	r := failure{Error: err.Error()}
	var invalid *configuration.InvalidError
	if errors.As(err, &invalid) {
		r.Violations = invalid.Violations
	}
	c.print(r)
	return exitFailed
}

// done prints v with -json, or else the formatted text, and returns exitDone.
func (c *invocation) done(v any, format string, args ...any) int {
	if *c.json {
		c.print(v)
		return exitDone
	}
	fmt.Printf(format+"\n", args...)
	return exitDone
}

func (c *invocation) print(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddlectl:", err)
		return
	}
	fmt.Println(string(data))
}
