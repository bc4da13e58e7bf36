package entry

import (
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// droppedInterval is the time between two looks for lines that the log dropped.
const droppedInterval = 5 * time.Second

// registerGauges names what is read where the metrics are asked for.
func (e *Entry) registerGauges() {
	gauge := func(name string, read func() int64) {
		// The names are fixed, and each is registered once.
		_ = e.parts.Metrics.Registry.Register(name, gometrics.NewFunctionalGauge(read))
	}
	gauge("gateway.in_flight", func() int64 { return int64(e.parts.Gateway.InFlight()) })
	gauge("configuration.version", func() int64 { return e.parts.Tables.version() })
	gauge("endpoints.usable", func() int64 { return int64(e.parts.Registry.usable()) })
	gauge("members.live", func() int64 { return int64(len(e.members.service.Live())) })
	gauge("dispatch.waiting", func() int64 { return int64(e.parts.Local.Waiting()) })
	gauge("dispatch.placed", func() int64 { return int64(e.parts.Local.Placed()) })
	gauge("ready", func() int64 {
		if e.ready() {
			return 1
		}
		return 0
	})
}

func (e *Entry) answerMetrics(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", metrics.ContentType)
	detail := metrics.ByOrganisation
	if r.URL.Query().Get("by") == string(metrics.ByClass) {
		detail = metrics.ByClass
	}
	// A reader that leaves gets no more.
	_ = e.parts.Metrics.WritePrometheus(w, detail)
}

// dropReporter returns what counts the lines that the log dropped, and says so.
func (e *Entry) dropReporter(dropped func() int64) func() {
	counter := e.parts.Metrics.Counter("log.dropped")
	return func() {
		if n := dropped(); n > 0 {
			counter.Inc(n)
			e.log.Emit(event.LinesDropped{Lines: n})
		}
	}
}
