// Command cornelsaddle runs an entry VM of the serving layer, or a sample
// deployment with stand-ins.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: cornelsaddle COMMAND [flags]

commands:
  gateway   run one entry VM on the users' platform
  demo      run a sample deployment with its stand-ins in this process
  serve     run one entry VM
  version   print the version

"cornelsaddle COMMAND -h" lists a command's flags.
Exit codes: 0 done, 1 failed, 2 wrong usage.
`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "demo":
		return runDemo(args[1:])
	case "gateway":
		return runGateway(args[1:])
	case "serve":
		return serve(args[1:])
	case "version":
		return printVersion(args[1:])
	case "-h", "--help", "help":
		fmt.Print(usage)
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "cornelsaddle: unknown command %q\n%s", args[0], usage)
	return exitUsage
}
