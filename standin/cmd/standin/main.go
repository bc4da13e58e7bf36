// Command standin runs a stand-in for the platform, an engine or a service as a
// process of its own, until it is interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cornelsaddle.example/cornelsaddle/standin/engine"
	"cornelsaddle.example/cornelsaddle/standin/platform"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// server is a started stand-in.
type server interface {
	Addr() string
	Close()
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	role := flag.String("role", "", "platform, engine or service")
	address := flag.String("address", "127.0.0.1:0", "IP and port to listen on")
	model := flag.String("model", "", "engine: model to serve")
	memory := flag.Int64("memory", 400_000, "engine: KV memory, tokens")
	rate := flag.Float64("prefill-rate", 20_000, "engine: prefill speed, tokens/s")
	step := flag.Duration("decode-step", 10*time.Millisecond, "engine: duration of a decode iteration")
	piece := flag.Int64("piece", 2048, "engine: maximum prefill per iteration, tokens")
	priorities := flag.Bool("priorities", true, "engine: serve high-priority prompts first")
	speed := flag.Float64("speed", 1, "engine: time acceleration factor")
	lag := flag.Duration("report-lag", 0, "engine: age of load reports")
	fencing := flag.Bool("checks-fencing", true, "engine: refuse load orders with an outdated fencing number")
	flag.Parse()

	var s server
	var err error
	switch *role {
	case "platform":
		s, err = platform.Start(platform.Config{Address: *address})
	case "engine":
		s, err = engine.Start(engine.Config{
			Address:      *address,
			InitialModel: *model,
			Model: engine.ModelConfig{
				MemoryTokens:       *memory,
				PrefillRate:        *rate,
				DecodeStep:         *step,
				DecodePerSequence:  *step / 50,
				PrefillChunkTokens: *piece,
				PriorityScheduling: *priorities,
			},
			Speed:         *speed,
			ReportLag:     *lag,
			ChecksFencing: *fencing,
		})
	case "service":
		s, err = service.Start(*address)
	default:
		fmt.Fprintln(os.Stderr, "standin: -role must be platform, engine or service")
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
	fmt.Println("listening on", s.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	s.Close()
}
