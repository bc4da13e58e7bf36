package coordination

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/workcost"
)

// costsMessage is what a VM has learned of a service, as sent to a new holder. Both lists are bounded,
// see workcost.Summary.
type costsMessage struct {
	Kinds []kindMessage `json:"k,omitempty"`
	Paces []paceMessage `json:"p,omitempty"`
}

// kindMessage is the cost of a kind. Mean is in microseconds.
type kindMessage struct {
	Route        string  `json:"r,omitempty"`
	Method       string  `json:"m,omitempty"`
	Organisation string  `json:"o,omitempty"`
	Size         uint8   `json:"z,omitempty"`
	Level        uint8   `json:"l,omitempty"`
	Mean         int64   `json:"t"`
	Spread       float64 `json:"d"`
	Evidence     float64 `json:"n"`
}

// paceMessage is the pace of an endpoint that is not of usual speed.
type paceMessage struct {
	Endpoint string  `json:"e"`
	Started  int64   `json:"i,omitempty"`
	Factor   float64 `json:"f"`
	Evidence float64 `json:"n"`
}

// encodeCosts encodes a summary; nil for an empty one.
func encodeCosts(sum workcost.Summary) *costsMessage {
	if len(sum.Kinds) == 0 && len(sum.Paces) == 0 {
		return nil
	}
	m := &costsMessage{Kinds: make([]kindMessage, 0, len(sum.Kinds)), Paces: make([]paceMessage, 0, len(sum.Paces))}
	for _, k := range sum.Kinds {
		m.Kinds = append(m.Kinds, kindMessage{
			Route: k.Kind.Route, Method: k.Kind.Method, Organisation: k.Kind.Organisation, Size: k.Kind.Size, Level: k.Level,
			Mean: k.Mean.Microseconds(), Spread: rounded(k.Spread), Evidence: rounded(k.Evidence),
		})
	}
	for _, p := range sum.Paces {
		m.Paces = append(m.Paces, paceMessage{p.Endpoint, p.Incarnation, rounded(p.Factor), rounded(p.Evidence)})
	}
	return m
}

// rounded leaves out the digits that say nothing, for the sake of the message's size.
func rounded(x float64) float64 { return math.Round(x*100) / 100 }

// maxMeanMicroseconds bounds a mean that is believed.
const maxMeanMicroseconds = int64(time.Hour / time.Microsecond)

func (m *costsMessage) summary(service string) workcost.Summary {
	var sum workcost.Summary
	for _, k := range m.Kinds[:min(len(m.Kinds), workcost.MaxSummaryKinds)] {
		if k.Mean <= 0 || k.Mean > maxMeanMicroseconds {
			continue
		}
		sum.Kinds = append(sum.Kinds, workcost.KindSummary{
			Kind:  workcost.Kind{Service: service, Route: k.Route, Method: k.Method, Organisation: k.Organisation, Size: k.Size},
			Level: k.Level, Mean: microseconds(k.Mean), Spread: k.Spread, Evidence: k.Evidence,
		})
	}
	for _, p := range m.Paces[:min(len(m.Paces), workcost.MaxSummaryPaces)] {
		sum.Paces = append(sum.Paces, workcost.PaceSummary{Endpoint: p.Endpoint, Incarnation: p.Started, Factor: p.Factor, Evidence: p.Evidence})
	}
	return sum
}

// costs returns what this VM has learned of a service by its own requests.
func (l *LocalDispatcher) costs(service string) workcost.Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatcher.Costs(time.Now(), service)
}

// addCosts adds what another VM has learned of a service.
func (l *LocalDispatcher) addCosts(service, from string, m *costsMessage) {
	if m == nil {
		return
	}
	l.handle(func(now time.Time, d *dispatch.Dispatcher) { d.AddCosts(now, service, from, m.summary(service)) })
}
