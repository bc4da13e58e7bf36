package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	platformclient "cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/standin/platform"
)

const (
	poolName     = "pool"
	storeTimeout = 5 * time.Second
	// requestTimeoutMs is the longest time of one measured request.
	requestTimeoutMs = 600_000
	// settleTime lets a new entry VM read its configuration and first reports.
	settleTime = 2 * time.Second
)

// system is a source behind an entry VM and behind a plain pass-through.
type system struct {
	platform    *platform.Server
	source      *process
	passThrough *process
	entry       *process
	dir         string
	endpoints   int
	addresses   []string
}

// startSystem starts the processes of the measurement, with one endpoint.
func startSystem() (*system, error) { return startEndpoints(1) }

// startEndpoints starts the processes with so many endpoints, all of them the
// source's.
func startEndpoints(endpoints int) (*system, error) {
	s := &system{endpoints: endpoints}
	if err := s.start(); err != nil {
		s.stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return s, nil
}

func (s *system) start() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "capacity"); err != nil {
		return errors.WithStack(err)
	}
	if s.platform, err = platform.Start(platform.Config{Address: loopback}); err != nil {
		return err
	}
	if s.source, err = startProcess("-role", roleSource, "-listeners", strconv.Itoa(s.endpoints)); err != nil {
		return err
	}
	s.addresses = strings.Fields(s.source.address)
	if s.passThrough, err = startProcess("-role", rolePassThrough, "-upstream", s.addresses[0]); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	file := filepath.Join(s.dir, "entry.json")
	if err := writeSettings(file, s.platform.Addr()); err != nil {
		return err
	}
	s.entry, err = startProcess("-role", roleEntry, "-settings", file)
	return err
}

// configure puts the source's addresses in force as endpoints.
func (s *system) configure() error {
	doc := configuration.Document{
		Organisations: map[string]configuration.Organisation{
			"framers": {KeyDigests: []string{calls.Digest([]byte(callerKey))}, Weight: 1, Services: []string{poolName}},
		},
		Services: map[string]configuration.Service{
			poolName: {Kind: configuration.KindModel, MaxTimeoutMs: requestTimeoutMs},
		},
		Endpoints: make(map[string]configuration.Endpoint, len(s.addresses)),
	}
	for i, address := range s.addresses {
		doc.Endpoints["pool-"+strconv.Itoa(i+1)] = configuration.Endpoint{
			Service: poolName, Address: address, FailureDomain: "domain-1", MemoryTokens: sourceMemory,
		}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return errors.WithStack(err)
	}
	store := platformclient.New(s.platform.Addr(), storeTimeout)
	defer store.Close()
	_, err = confapply.Apply(store, []configuration.File{{Name: "10-all.json", Data: data}}, 0)
	return err
}

// stop ends what was started.
func (s *system) stop() {
	for _, p := range []*process{s.entry, s.passThrough, s.source} {
		if p != nil {
			p.stop()
		}
	}
	if s.platform != nil {
		s.platform.Close()
	}
	_ = os.RemoveAll(s.dir)
}
