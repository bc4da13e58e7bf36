// Command capacity measures the marginal costs ("slopes") used in docs/CAPACITY.md
// on loopback and prints them as tables: the resource use of an entry VM per
// forwarded token, per request and per stream in flight, compared with a plain
// pass-through proxy as the baseline; that of an idle entry VM by the number of
// endpoints; and the cost of the configuration by its size. Each measurement has a
// bounded duration, and the program exits when all are done.
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
	role := flag.String("role", "", "run as one process of the measurement: source, pass-through or entry")
	listeners := flag.Int("listeners", 1, "source: number of addresses to listen on")
	upstream := flag.String("upstream", "", "pass-through: address of the source")
	settingsFile := flag.String("settings", "", "entry: settings file")
	slope := flag.String("slope", "all", "slope to measure: forward, request, stream, control, configuration or all")
	length := flag.Duration("length", 4*time.Second, "duration of each measurement")
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

// measure runs the selected slope, or all of them.
func measure(slope string, duration time.Duration) error {
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
		if err := s.run(duration); err != nil {
			return err
		}
	}
	return nil
}
