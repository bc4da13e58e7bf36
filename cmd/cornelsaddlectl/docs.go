package main

import (
	"fmt"

	"cornelsaddle.example/cornelsaddle/internal/docpages"
)

// docs writes the pages that are generated from the code.
func docs(args []string) int {
	flags := flagSet("docs", "DIR")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	if flags.NArg() != 1 {
		return misuse(flags, "one directory is required")
	}
	if err := docpages.Write(flags.Arg(0)); err != nil {
		return fail(flags, err)
	}
	fmt.Println("wrote the pages of", flags.Arg(0))
	return exitDone
}
