package main

import (
	"fmt"

	"cornelsaddle.example/cornelsaddle/internal/docpages"
)

// docs writes the generated documentation pages into a directory.
func docs(args []string) int {
	flags := flagSet("docs", "DIR")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	if flags.NArg() != 1 {
		return usageError(flags, "one directory is required")
	}
	if err := docpages.Write(flags.Arg(0)); err != nil {
		return fail(flags, err)
	}
	fmt.Println("wrote the generated pages to", flags.Arg(0))
	return exitDone
}
