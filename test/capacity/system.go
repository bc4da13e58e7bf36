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
	// requestTimeoutMs is the maximum timeout of a measured request, in
	// milliseconds.
	requestTimeoutMs = 600_000
	// warmUpTime gives a new entry VM time to read its configuration and the first
	// load reports.
	warmUpTime = 2 * time.Second
)

// system is a source behind an entry VM and behind a plain pass-through. addresses
// are those of the source, one for each endpoint.
type system struct {
	platform    *platform.Server
	source      *process
	passThrough *process
	entry       *process
	dir         string
	endpoints   int
	addresses   []string
}

// startSystem starts the processes of a measurement with one endpoint.
func startSystem() (*system, error) { return startSystemWithEndpoints(1) }

// startSystemWithEndpoints starts the processes of a measurement with the given
// number of endpoints, all served by the source, and waits for warmUpTime.
func startSystemWithEndpoints(endpoints int) (*system, error) {
	s := &system{endpoints: endpoints}
	if err := s.start(); err != nil {
		s.stop()
		return nil, err
	}
	time.Sleep(warmUpTime)
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

// configure applies a configuration with the source's addresses as endpoints.
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
			Service: poolName, Address: address, FailureDomain: "domain-1", MemoryTokens: sourceMemoryTokens,
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

// stop stops the processes that were started and removes the folder.
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
