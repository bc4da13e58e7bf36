package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Changes reports how much counters have grown between two calls. It is not safe for
// concurrent use.
type Changes struct {
	registry gometrics.Registry
	previous map[string]int64
}

// NewChanges returns a Changes whose first call reports all counters of the registry.
func NewChanges(registry gometrics.Registry) *Changes {
	return &Changes{registry: registry, previous: make(map[string]int64)}
}

// Read returns the increase of each counter that has grown since the previous call.
func (c *Changes) Read() map[string]int64 {
	grown := make(map[string]int64)
	c.registry.Each(func(name string, metric any) {
		counter, ok := metric.(gometrics.Counter)
		if !ok {
			return
		}
		count := counter.Count()
		if n := count - c.previous[name]; n > 0 {
			grown[name] = n
		}
		c.previous[name] = count
	})
	return grown
}
