package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/node"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/settings"
	"cornelsaddle.example/cornelsaddle/standin/engine"
	standinplatform "cornelsaddle.example/cornelsaddle/standin/platform"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

const (
	loopback = "127.0.0.1:0"
	entryVMs = 4
	// engineSpeed is the factor by which the stand-in engines run faster than
	// real ones.
	engineSpeed = 5
	// reportLag is the age of the engines' load reports, scaled by engineSpeed.
	reportLag         = 200 * time.Millisecond / engineSpeed
	decodeStep        = 10 * time.Millisecond
	decodePerSequence = 200 * time.Microsecond
	pieceTokens       = 2048
	writesPerSecond   = 500
	readsPerSecond    = 2000
	platformTimeout   = 2 * time.Second
	adminToken        = "demo-admin-token"
	peerKey           = "demo-peer-key-0001"
	logLevel          = "info"
)

// engineSpec is the memory size in tokens and the prefill rate, in tokens per
// second before acceleration, of an engine.
type engineSpec struct {
	memoryTokens int64
	prefillRate  float64
}

// engineSpecs model hardware of different generations; they are assigned to the
// engines in turn.
var engineSpecs = []engineSpec{
	{400_000, 32_000},
	{400_000, 24_000},
	{300_000, 24_000},
	{300_000, 16_000},
	{200_000, 12_000},
}

// closer is a running component of the system.
type closer interface{ Close() }

// system is a running deployment.
type system struct {
	deployment Deployment
	platform   *standinplatform.Server
	engines    []*engine.Server
	nodes      []*node.Node
	parts      []closer
}

// start starts all components; on failure it closes those already started.
func start(d Deployment, logs io.Writer) (*system, error) {
	s := &system{deployment: d}
	if err := s.startParts(logs); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) startParts(logs io.Writer) error {
	var err error
	s.platform, err = standinplatform.Start(standinplatform.Config{
		Address:         loopback,
		WritesPerSecond: writesPerSecond,
		ReadsPerSecond:  readsPerSecond,
	})
	if err != nil {
		return err
	}
	s.parts = append(s.parts, s.platform)
	doc := s.deployment.document()
	if err := s.startEndpoints(&doc); err != nil {
		return err
	}
	if err := applyConfiguration(s.platform.Addr(), &doc); err != nil {
		return err
	}
	for i := range entryVMs {
		if err := s.startNode(i, logs); err != nil {
			return err
		}
	}
	return s.waitReady()
}

// startEndpoints starts the engines and the instances of the plain service and
// adds them to doc.
func (s *system) startEndpoints(doc *configuration.Document) error {
	d := &s.deployment
	for i := range d.Engines {
		spec := engineSpecs[i%len(engineSpecs)]
		e, err := engine.Start(engineConfig(d.Model, spec))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		s.parts = append(s.parts, e)
		doc.Endpoints[fmt.Sprintf("%s-%02d", d.Model, i+1)] = configuration.Endpoint{
			Service:       d.Model,
			Address:       e.Addr(),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
			MemoryTokens:  spec.memoryTokens,
			PrefillRate:   spec.prefillRate * engineSpeed,
			ChecksFencing: true,
		}
	}
	for i := range d.Instances {
		p, err := service.Start(loopback)
		if err != nil {
			return err
		}
		s.parts = append(s.parts, p)
		doc.Endpoints[fmt.Sprintf("%s-%d", d.Service, i+1)] = configuration.Endpoint{
			Service:       d.Service,
			Address:       p.Addr(),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		}
	}
	return nil
}

func engineConfig(model string, s engineSpec) engine.Config {
	return engine.Config{
		Address:      loopback,
		InitialModel: model,
		Model: engine.ModelConfig{
			MemoryTokens:       s.memoryTokens,
			PrefillRate:        s.prefillRate,
			DecodeStep:         decodeStep,
			DecodePerSequence:  decodePerSequence,
			PrefillChunkTokens: pieceTokens,
			PriorityScheduling: true,
		},
		Speed:         engineSpeed,
		ReportLag:     reportLag,
		ChecksFencing: true,
	}
}

// applyConfiguration writes the document to the store as version 1.
func applyConfiguration(address string, doc *configuration.Document) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return errors.WithStack(err)
	}
	store := platform.New(address, platformTimeout)
	defer store.Close()
	_, err = confapply.Apply(store, []configuration.File{{Name: "10-demo.json", Data: data}}, 0)
	return err
}

func (s *system) startNode(i int, logs io.Writer) error {
	conf := settings.Default()
	conf.VM = settings.VM{
		ID:            fmt.Sprintf("entry-%d", i+1),
		Region:        s.deployment.Region,
		FailureDomain: s.deployment.FailureDomains[i%len(s.deployment.FailureDomains)],
	}
	conf.Callers.Address = loopback
	// No load balancer has to notice a shutdown, so there is nothing to wait for.
	conf.Callers.DrainGraceMs = 1
	conf.Admin = settings.Admin{Address: loopback, Token: adminToken}
	conf.Peers.Address = loopback
	conf.Peers.Keys = []string{peerKey}
	conf.Platform.Address = s.platform.Addr()
	log, err := event.New(logs, conf.Log.Format, logLevel, conf.VM.ID)
	if err != nil {
		return err
	}
	n, err := node.Start(conf, log)
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return nil
}

// callerAddresses returns the addresses of the VMs' listeners for callers.
func (s *system) callerAddresses() []string {
	list := make([]string, 0, len(s.nodes))
	for _, n := range s.nodes {
		list = append(list, n.CallersAddr())
	}
	return list
}

// close drains and closes the VMs, then closes all other components.
func (s *system) close() {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		wg.Go(func() {
			n.Drain()
			n.Close()
		})
	}
	wg.Wait()
	for i := len(s.parts) - 1; i >= 0; i-- {
		s.parts[i].Close()
	}
}
