package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"

	"github.com/pkg/errors"
)

// version is set at link time.
var version = "dev"

// versionInfo is the JSON output of version -json.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// printVersion runs the version subcommand and returns the exit code.
func printVersion(args []string) int {
	flags := flag.NewFlagSet("version", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	info := versionInfo{version, runtime.Version()}
	if !*asJSON {
		fmt.Println("cornelsaddle", info.Version, info.Go)
		return exitDone
	}
	if err := json.NewEncoder(os.Stdout).Encode(info); err != nil {
		return exitFailed
	}
	return exitDone
}
