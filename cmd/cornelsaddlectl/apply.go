package main

import (
	"fmt"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const platformTimeout = 5 * time.Second

// apply puts a folder in force.
func apply(args []string) int {
	flags := flagSet("apply", "-platform IP:PORT [-base N] DIR")
	address := flags.String("platform", "", "platform's address, IP and port")
	base := flags.Int64("base", 0, "version that the change is made against; 0 for the first")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	if *address == "" || flags.NArg() != 1 {
		return misuse(flags, "-platform and one folder are required")
	}
	files, err := confapply.ReadFolder(flags.Arg(0))
	if err != nil {
		return fail(flags, err)
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	next, err := confapply.Apply(store, files, *base)
	if err != nil {
		return fail(flags, err)
	}
	fmt.Println("version", next, "accepted")
	return exitDone
}
