package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/entry"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/platform"
)

// settingsInterval is the time between two looks whether the settings file has
// changed.
const settingsInterval = 2 * time.Second

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
	log.Emit(settingsLoaded(path, settings))
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
	awaitStop(signals, path, e, log)
	e.Stop()
	return nil
}

// awaitStop reads the settings again on SIGHUP and when the file has changed
// without it, until another signal comes.
func awaitStop(signals <-chan os.Signal, path string, e *entry.VM, log *event.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	read := modified(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if modified(path).Equal(read) {
				continue
			}
		}
		read = modified(path)
		reload(path, e, log)
	}
}

// modified is when the file was last written; zero where it can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and brings them into force; a file that can't be
// read is said so, and changes nothing.
func reload(path string, e *entry.VM, log *event.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Emit(event.SettingsUnreadable{Reason: err.Error()})
		return
	}
	e.Reload(settings)
	log.Emit(settingsLoaded(path, settings))
}

func settingsLoaded(path string, s config.Settings) event.SettingsLoaded {
	return event.SettingsLoaded{
		Path: path, MemoryMB: s.Limits.MemoryMB, Cores: s.Limits.Cores, Descriptors: s.Limits.MaxDescriptors,
		Grace: s.Grace, RepeatRatio: s.Retries.Ratio, RepeatAllowance: s.Retries.Allowance,
	}
}
