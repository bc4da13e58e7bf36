package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/entry"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/platform"
)

// runGateway runs an entry VM on the users' platform until it is told to stop.
func runGateway(args []string) int {
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	path := flags.String("settings", platform.SettingsPath(), "settings file that the platform writes")
	metricsAddress := flags.String("metrics", "", "address, IP and port, on which the metrics are served; empty for none")
	level := flags.String("log", "info", "least level of the log: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	if err := serveGateway(*path, *level, *metricsAddress); err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddle gateway:", err)
		return exitFailed
	}
	return exitDone
}

func serveGateway(path, level, metricsAddress string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	settings.Metrics = metricsAddress
	out := event.NewBuffer(os.Stdout)
	defer out.Close()
	log, err := event.New(out, "json", level, settings.VM)
	if err != nil {
		return err
	}
	log.Emit(event.SettingsLoaded{Path: path})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := entry.Start(settings, entry.Platform{
		Store:   platform.NewStore(settings.Store),
		Decoder: platform.Documents{},
		Dialect: platform.Headers{},
		Memory:  platform.Orders{},
	}, log, out.Dropped)
	if err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		reload(path, log)
	}
	e.Stop()
	return nil
}

// reload reads the settings again. What they name, listeners and limits, holds
// for a process's life; a file that can't be read is said so.
func reload(path string, log *event.Logger) {
	if _, err := platform.LoadSettings(path); err != nil {
		log.Emit(event.SettingsUnreadable{Reason: err.Error()})
		return
	}
	log.Emit(event.SettingsLoaded{Path: path})
}
