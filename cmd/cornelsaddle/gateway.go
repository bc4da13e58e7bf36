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

// settingsPollInterval is the interval between checks of the modification time of
// the settings file.
const settingsPollInterval = 2 * time.Second

// runGateway runs an entry VM on the users' platform until it receives SIGINT or
// SIGTERM, and returns the exit code.
func runGateway(args []string) int {
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	path := flags.String("settings", platform.SettingsPath(), "settings file written by the platform")
	metricsAddress := flags.String("metrics", "", "address (IP:PORT) on which metrics are served; empty to serve none")
	peersListen := flags.String("listen-peers", "", "address (IP:PORT) on which the other VMs are served, if it differs from the one in the settings file, at which they reach this VM")
	profiles := flags.Bool("profiles", false, "also serve profiles of the process on the metrics address, under /debug/pprof/")
	level := flags.String("log", "info", "minimum log level: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		return exitUsage
	}
	startup := gatewayStartup{settings: *path, level: *level, metrics: *metricsAddress, profiles: *profiles, peersListen: *peersListen}
	if err := serveGateway(startup); err != nil {
		fmt.Fprintln(os.Stderr, "cornelsaddle gateway:", err)
		return exitFailed
	}
	return exitDone
}

// gatewayStartup has what the flags set, which holds until the process ends.
type gatewayStartup struct {
	// settings is the path of the settings file, and level the minimum log level.
	settings, level string
	// metrics and peersListen are listen addresses of config.Settings.
	metrics, peersListen string
	profiles             bool
}

func serveGateway(startup gatewayStartup) error {
	path := startup.settings
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	settings.Metrics, settings.Profiles, settings.PeersListen = startup.metrics, startup.profiles, startup.peersListen
	out := event.NewBuffer(os.Stdout)
	defer out.Close()
	log, err := event.New(out, "json", startup.level, settings.VM)
	if err != nil {
		return err
	}
	log.Emit(settingsLoaded(path, settings))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := entry.Start(settings, entry.Platform{
		Store:         platform.NewStore(settings.Store),
		Decoder:       platform.Documents{},
		Headers:       platform.Headers{},
		MemoryEncoder: platform.MemoryEncoder{},
	}, log, out.Dropped)
	if err != nil {
		return err
	}
	awaitStop(signals, path, e, log)
	e.Stop()
	if n := out.Dropped(); n > 0 {
		log.Emit(event.LinesDropped{Lines: n})
	}
	return nil
}

// awaitStop reloads the settings on SIGHUP and when the modification time of the
// file has changed. It returns on any other signal, with the settings of that time in force.
func awaitStop(signals <-chan os.Signal, path string, e reloader, log *event.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		hup, stop := false, false
		select {
		case s := <-signals:
			hup = s == syscall.SIGHUP
			stop = !hup
		case <-ticker.C:
		}
		modified := modificationTime(path)
		if hup || !modified.Equal(lastModified) {
			lastModified = modified
			reload(path, e, log)
		}
		if stop {
			return
		}
	}
}

// reloader applies changed settings.
type reloader interface {
	Reload(settings config.Settings)
}

// modificationTime returns the modification time of the file, or the zero time if it
// cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings file and applies it. If the file cannot be loaded, or has no grace
// period, with which a stop would end all requests at once, reload logs the reason and leaves the
// current settings unchanged.
func reload(path string, e reloader, log *event.Logger) {
	settings, err := platform.LoadSettings(path)
	if err == nil && settings.Grace <= 0 {
		err = errors.WithStack(&graceMissingError{})
	}
	if err != nil {
		log.Emit(event.SettingsUnreadable{Reason: err.Error()})
		return
	}
	e.Reload(settings)
	log.Emit(settingsLoaded(path, settings))
}

// graceMissingError reports settings without a grace period.
type graceMissingError struct{}

// Error implements error.
func (*graceMissingError) Error() string { return "the grace period is missing or not positive" }

func settingsLoaded(path string, s config.Settings) event.SettingsLoaded {
	return event.SettingsLoaded{
		Path: path, MemoryMB: s.Limits.MemoryMB, Cores: s.Limits.Cores, Descriptors: s.Limits.MaxDescriptors,
		Grace: s.Grace, RepeatRatio: s.Retries.Ratio, RepeatAllowance: s.Retries.Allowance,
		LearnCosts: s.Placement.LearnCosts, FairShares: s.Placement.FairShares, HedgeSilent: s.Placement.HedgeSilent,
		PreferNear: s.Placement.PreferNear,
	}
}
