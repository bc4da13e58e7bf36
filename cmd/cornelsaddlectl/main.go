// Command cornelsaddlectl is the operators' tool.
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

const usage = `usage: cornelsaddlectl COMMAND [flags]

commands:
  validate  check a folder
  apply     merge a folder and put it in force
  fetch     write the files of a version into a folder
  status    show VMs and the versions that they have in force
  drain     shut VMs down gracefully
  version   print the version

"cornelsaddlectl COMMAND -h" lists a command's flags.
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
	case "validate":
		return validate(args[1:])
	case "apply":
		return apply(args[1:])
	case "fetch":
		return fetch(args[1:])
	case "status":
		return status(args[1:])
	case "drain":
		return drain(args[1:])
	case "version":
		fmt.Println("cornelsaddlectl", version)
		return exitDone
	case "-h", "--help", "help":
		fmt.Print(usage)
		return exitDone
	}
	fmt.Fprintf(os.Stderr, "cornelsaddlectl: unknown command %q\n%s", args[0], usage)
	return exitUsage
}
