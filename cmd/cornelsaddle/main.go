// Command cornelsaddle runs one entry VM of the serving layer.
package main

import (
	"fmt"
	"os"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: cornelsaddle COMMAND [flags]

commands:
  demo      run a sample deployment with its stand-ins in this process
  serve     run one entry VM
  version   print the version

"cornelsaddle COMMAND -h" lists a command's flags.
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
	case "serve":
		return serve(args[1:])
	case "version":
		fmt.Println("cornelsaddle", version)
		return exitDone
	case "-h", "--help", "help":
		fmt.Print(usage)
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "cornelsaddle: unknown command %q\n%s", args[0], usage)
	return exitUsage
}
