package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const platformTimeout = 5 * time.Second

// apply puts a folder in force.
func apply(args []string) int {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	address := flags.String("platform", "", "platform's address, IP and port")
	base := flags.Int64("base", 0, "version that the change is made against; 0 for the first")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if *address == "" || flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: cornelsaddlectl apply -platform IP:PORT [-base N] DIR")
		return exitUsage
	}
	files, err := confapply.ReadFolder(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddlectl apply:", err)
		return exitFailed
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	next, err := confapply.Apply(store, files, *base)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddlectl apply:", err)
		return exitFailed
	}
	fmt.Println("version", next, "accepted")
	return exitDone
}
