package entry

import (
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// serviceSink receives the configured services.
type serviceSink interface {
	SetServices(services []dispatch.Service)
}

// tables holds the routing table of the configuration in force, whose version never
// decreases. It is safe for concurrent use.
type tables struct {
	decoder provider.Decoder
	log     *event.Logger
	sink    serviceSink
	// evacuate records whether a failure domain is evacuated.
	evacuate func(domain string, evacuated bool)
	current  atomic.Pointer[routing.Table]
}

func newTables(decoder provider.Decoder, log *event.Logger, sink serviceSink, evacuate func(domain string, evacuated bool)) *tables {
	return &tables{decoder: decoder, log: log, sink: sink, evacuate: evacuate}
}

// Current implements gateway.Tables.
func (t *tables) Current() *routing.Table { return t.current.Load() }

// Changed implements mirror.Observer. Evacuations go first: a VM that starts may take
// requests once it has a configuration.
func (t *tables) Changed(rows []provider.Row) {
	for _, row := range rows {
		if domain, found := t.decoder.Evacuation(row); found {
			t.evacuate(domain, !row.Removed)
		}
	}
	for _, row := range rows {
		t.apply(row)
	}
}

// apply puts the row's configuration into force if it is newer than the current
// one. A configuration that can't be decoded is logged and ignored.
func (t *tables) apply(row provider.Row) {
	deployment, found, err := t.decoder.Deployment(row)
	if !found {
		return
	}
	active := t.version()
	if err != nil {
		t.log.Emit(event.DeploymentUnreadable{Version: active, Reason: err.Error()})
		return
	}
	if deployment.Version <= active {
		return
	}
	table := routing.NewTable(deployment)
	t.sink.SetServices(t.dispatchServices(table))
	t.current.Store(table)
	t.log.Emit(event.DeploymentApplied{Version: deployment.Version, Was: active, Routes: len(deployment.Routes)})
}

// Supersedes implements mirror.Observer. Configurations have a version of their own,
// which tells whether one that a restored store holds, or that was written to it, is
// older than the known one. An evacuation, and its end, hold until the operator has
// written them again.
func (t *tables) Supersedes(known, row provider.Row, rewritten bool) bool {
	if _, found := t.decoder.Evacuation(row); found {
		return rewritten
	}
	return t.versionOf(row) >= t.versionOf(known)
}

// versionOf returns the version of the configuration in a row; zero if there is none.
func (t *tables) versionOf(row provider.Row) int64 {
	deployment, found, err := t.decoder.Deployment(row)
	if !found || err != nil {
		return 0
	}
	return deployment.Version
}

// KeepFor implements mirror.Observer. A configuration is kept until one of at least
// its version is written again.
func (t *tables) KeepFor() time.Duration { return 0 }

// version returns the version of the configuration in force, or zero for none.
func (t *tables) version() int64 {
	if table := t.current.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// Outage implements mirror.Observer. The last configuration stays in force.
func (t *tables) Outage() {}

// Restored implements mirror.Observer.
func (t *tables) Restored(time.Time) {}

// dispatchServices returns the services for the dispatcher. One with unusable cost
// parameters counts as a plain service.
func (t *tables) dispatchServices(table *routing.Table) []dispatch.Service {
	services := make([]dispatch.Service, 0, len(table.Services()))
	for _, s := range table.Services() {
		model := s.Engine
		if model != nil && !model.Valid() {
			t.log.Emit(event.CostModelInvalid{Service: s.Name, Version: table.Version()})
			model = nil
		}
		services = append(services, dispatch.Service{
			Name: s.Name, Engine: model, Cold: dispatch.Cold{For: s.ColdFor, PerSecond: s.ColdPerSecond},
		})
	}
	return services
}
