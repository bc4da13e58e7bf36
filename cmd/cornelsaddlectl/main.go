// Command cornelsaddlectl is the command-line tool for operators: it manages the
// configuration, queries and drains VMs, and runs load tests.
package main

import (
	"fmt"
	"io"
	"os"
)

// version is set at link time.
var version = "dev"

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand; run returns the exit code.
type command struct {
	name    string
	summary string
	run     func(args []string) int
}

// commands lists the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{"validate", "check a configuration folder", validate},
		{"check", "look for faults in a configuration before it is sent", check},
		{"apply", "merge a folder into the configuration and put it in force", apply},
		{"fetch", "write the files of a configuration version into a folder", fetch},
		{"status", "show VMs and the configuration versions that they have in force", status},
		{"drain", "shut VMs down gracefully", drain},
		{"load", "send a mix of prompts and calls and measure the answers", load},
		{"report", "write results of load as an HTML page with plots", runReport},
		{"chart", "print a state chart as text", chart},
		{"docs", "write the generated pages: events, errors, settings, charts", docs},
		{"version", "print the version", printVersion},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		usage(os.Stderr)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:])
		}
	}
	switch args[0] {
	case "-h", "--help", "help":
		usage(os.Stdout)
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "cornelsaddlectl: unknown command %q\n", args[0])
	usage(os.Stderr)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprint(w, "usage: cornelsaddlectl COMMAND [flags]\n\ncommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, `
"cornelsaddlectl COMMAND -h" lists a command's flags.
Exit codes: 0 done, 1 failed, 2 wrong usage.
`)
}
