package main

import (
	"fmt"
	"runtime"
)

// versionInfo is the JSON output of version -json.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// printVersion runs the version command and returns the exit code.
func printVersion(args []string) int {
	flags := flagSet("version", "[-json]")
	asJSON := flags.Bool("json", false, "print JSON")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	info := versionInfo{version, runtime.Version()}
	if *asJSON {
		if err := printJSON(info); err != nil {
			return fail(flags, err)
		}
		return exitDone
	}
	fmt.Println("cornelsaddlectl", info.Version, info.Go)
	return exitDone
}
