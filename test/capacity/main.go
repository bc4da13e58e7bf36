// Command capacity measures the slopes behind docs/CAPACITY.md on loopback and
// prints them as tables: what an entry VM spends per token passed on, per
// request and per stream in flight, beside a plain pass-through as the
// baseline, and what the configuration costs by its size. Each part runs for a
// bounded time and the program stops by itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	role := flag.String("role", "", "run one process of the measurement: source, pass-through or entry")
	listeners := flag.Int("listeners", 1, "source: number of addresses")
	upstream := flag.String("upstream", "", "source's address, for the roles that forward")
	settingsFile := flag.String("settings", "", "settings file, for the entry role")
	slope := flag.String("slope", "all", "forward, request, stream, control, configuration or all")
	length := flag.Duration("length", 4*time.Second, "time of each measured point")
	flag.Parse()

	var err error
	switch *role {
	case "":
		err = measure(*slope, *length)
	case roleSource:
		err = runSource(*listeners)
	case rolePassThrough:
		err = runPassThrough(*upstream)
	case roleEntry:
		err = runEntry(*settingsFile)
	default:
		fmt.Fprintln(os.Stderr, "capacity: unknown role", *role)
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitFailed)
	}
}

// measure runs the slopes asked for.
func measure(slope string, length time.Duration) error {
	slopes := []struct {
		name string
		run  func(time.Duration) error
	}{
		{"forward", forwardSlope},
		{"request", requestSlope},
		{"stream", streamSlope},
		{"control", controlSlope},
		{"configuration", configurationSlope},
	}
	for _, s := range slopes {
		if slope != "all" && slope != s.name {
			continue
		}
		if err := s.run(length); err != nil {
			return err
		}
	}
	return nil
}
