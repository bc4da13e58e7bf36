package entry

import (
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// countersInterval is the time between two reports of the counters in the log.
const countersInterval = time.Minute

// droppedLinesInterval is the time between two reports of dropped log lines.
const droppedLinesInterval = 5 * time.Second

// registerGauges registers the gauges that are read when metrics are exported.
func (v *VM) registerGauges() {
	gauge := func(name string, read func() int64) {
		// The names are fixed, and each is registered once.
		_ = v.components.Metrics.Registry.Register(name, gometrics.NewFunctionalGauge(read))
	}
	gauge("gateway.in_flight", func() int64 { return int64(v.components.Gateway.InFlight()) })
	gauge("configuration.version", func() int64 { return v.components.Tables.version() })
	gauge("endpoints.usable", func() int64 { return int64(v.components.Registry.usable()) })
	gauge("members.live", func() int64 { return int64(len(v.members.service.Live())) })
	gauge("dispatch.waiting", func() int64 { return int64(v.components.Local.Waiting()) })
	gauge("dispatch.placed", func() int64 { return int64(v.components.Local.Placed()) })
	gauge("dispatch.searches", func() int64 { return v.components.Local.Searches() })
	gauge("paths.lost", func() int64 { return int64(v.components.Transport.LostPaths()) })
	gauge("relay.sent", func() int64 { return v.components.Transport.Relayed() })
	gauge("relay.served", func() int64 { return v.components.RelayServer.Total() })
	gauge("relay.in_flight", func() int64 { return int64(v.components.RelayServer.InFlight()) })
	gauge("endpoints.limited", func() int64 { return int64(v.components.Local.Limited()) })
	gauge("quarantine.parts", func() int64 { return int64(v.components.Local.Withholding()) })
	v.registerMemoryGauges(gauge)
	// The names are fixed, and each is registered once.
	_ = v.components.Metrics.RegisterProcess()
	gauge("ready", func() int64 {
		if v.ready() {
			return 1
		}
		return 0
	})
}

func (v *VM) handleMetrics(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", metrics.ContentType)
	grouping := metrics.ByOrganisation
	if r.URL.Query().Get("by") == string(metrics.ByClass) {
		grouping = metrics.ByClass
	}
	// A write error means that the reader has disconnected.
	_ = v.components.Metrics.WritePrometheus(w, grouping)
}

// newCountersReporter returns a function that logs how much the counters have grown since
// its previous call.
func (v *VM) newCountersReporter() func() {
	changes := metrics.NewChanges(v.components.Metrics.Registry)
	previous := metrics.ProcessorTime()
	return func() {
		processor := metrics.ProcessorTime()
		v.log.Emit(event.CountersReported{Interval: countersInterval, Processor: processor - previous, Counters: changes.Read()})
		previous = processor
	}
}

// newDroppedLinesReporter returns a function that counts and logs the log lines
// dropped since its previous call.
func (v *VM) newDroppedLinesReporter(dropped func() int64) func() {
	counter := v.components.Metrics.Counter("log.dropped")
	return func() {
		if n := dropped(); n > 0 {
			counter.Inc(n)
			v.log.Emit(event.LinesDropped{Lines: n})
		}
	}
}
