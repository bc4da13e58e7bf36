package coordination

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// logLimitChange logs a change of an endpoint's limit that a VM has reported.
func (c *Coordinator) logLimitChange(change dispatch.LimitChange, from string) {
	c.log.Emit(event.EndpointLimitChanged{
		Service: change.Service, Endpoint: change.Endpoint, Started: change.Started,
		Limit: change.Now.Text(), Was: change.Was.Text(), From: from,
	})
}

// setHolder records whether this VM is the holder of the service.
func (l *LocalDispatcher) setHolder(service string, holder bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatcher.SetHolder(time.Now(), service, holder)
}

// limits returns the limits of the service's endpoints that this VM knows.
func (l *LocalDispatcher) limits(service string) []dispatch.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Limits(service)
}

// addLimits adds the limits that another VM knows, whose ages are relative to base.
func (l *LocalDispatcher) addLimits(limits []limitMessage, from string, base time.Time) {
	if len(limits) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, m := range limits {
		if change, changed := l.dispatcher.AddLimit(now, m.limit(base)); changed {
			l.onLimitChange(change, from)
		}
	}
	l.limited.Store(l.dispatcher.KnowsLimits())
}

// knowsLimits reports whether the limit of an endpoint is known.
func (l *LocalDispatcher) knowsLimits() bool { return l.limited.Load() }

// Limited returns the number of endpoints that have named a limit.
func (l *LocalDispatcher) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Limited()
}
