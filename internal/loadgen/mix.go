package loadgen

import (
	"bytes"
	"encoding/json"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

const (
	defaultAnswerTokens = 16
	defaultTimeoutMs    = 60_000
	defaultInFlight     = 1000
	// maxRequests is the upper limit for Mix.MaxRequests.
	maxRequests = 1_000_000
)

// Mix describes the load of one run.
type Mix struct {
	Name string `json:"name"`
	// Seed determines the arrivals, the lengths and the texts.
	Seed uint64 `json:"seed"`
	// TextSeed changes the texts and the idempotency keys but not the arrivals
	// and lengths, so that the prompts of a run do not hit the engines' caches
	// filled by an earlier run.
	TextSeed uint64 `json:"text_seed,omitempty"`
	// DurationMs is the time over which requests are sent, in milliseconds.
	DurationMs int64 `json:"duration_ms"`
	// MaxRequests limits the number of requests.
	MaxRequests int `json:"max_requests"`
	// MaxInFlight limits the requests in flight; a request that would exceed it
	// is skipped and counted. The default is 1000.
	MaxInFlight   int            `json:"max_in_flight,omitempty"`
	Organisations []Organisation `json:"organisations"`
	Prompts       []Prompts      `json:"prompts,omitempty"`
	Calls         []Calls        `json:"calls,omitempty"`
}

// Organisation is a tenant that sends a share of the requests.
type Organisation struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Weight is its share of the requests, relative to the others.
	Weight float64 `json:"weight"`
}

// Prompts is one class of prompts.
type Prompts struct {
	Class string `json:"class"`
	Model string `json:"model"`
	// MinTokens and MaxTokens bound the length, which is log-uniform between
	// them.
	MinTokens int64 `json:"min_tokens"`
	MaxTokens int64 `json:"max_tokens"`
	// RatePerSecond is the mean rate of the Poisson arrivals.
	RatePerSecond float64 `json:"rate_per_second"`
	// AnswerTokens is the length of the answers; the default is 16.
	AnswerTokens int64 `json:"answer_tokens,omitempty"`
	// SharedPrefix is the share of a prompt, from 0 to 1, that is a prefix common
	// to all prompts of its group.
	SharedPrefix float64 `json:"shared_prefix,omitempty"`
	// PrefixGroups is the number of groups, each with its own prefix; the default
	// is 1.
	PrefixGroups int `json:"prefix_groups,omitempty"`
	// TimeoutMs is the requested timeout in milliseconds; the default is 60 000.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// Unstreamed requests answers in one body instead of streams.
	Unstreamed bool `json:"whole,omitempty"`
}

// Calls is one class of calls to an operation of a plain service.
type Calls struct {
	Service       string  `json:"service"`
	Operation     string  `json:"operation"`
	RatePerSecond float64 `json:"rate_per_second"`
	// Keyed sends the calls with an Idempotency-Key header.
	Keyed bool `json:"keyed,omitempty"`
	// Repeat is the share of keyed calls, from 0 to 1, that are sent again
	// through the next address once they are answered. Both answers must be equal.
	Repeat    float64 `json:"repeat,omitempty"`
	TimeoutMs int64   `json:"timeout_ms,omitempty"`
}

// MixError reports an invalid field of a mix and what was expected there, or
// why the mix could not be decoded.
type MixError struct {
	Pointer  string
	Expected string
}

// Error implements error.
func (e *MixError) Error() string { return "mix: " + e.Pointer + ": " + e.Expected }

// ReadMix reads and validates a mix file.
func ReadMix(file string) (Mix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Mix{}, errors.WithStack(err)
	}
	return ParseMix(data)
}

// ParseMix decodes and validates a mix. It returns a MixError if the mix is
// invalid or has an unknown field.
func ParseMix(data []byte) (Mix, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var m Mix
	if err := dec.Decode(&m); err != nil {
		return Mix{}, errors.WithStack(&MixError{"/", err.Error()})
	}
	return m, m.Validate()
}

// Validate returns a MixError for the first invalid field.
func (m *Mix) Validate() error {
	switch {
	case m.DurationMs <= 0:
		return errors.WithStack(&MixError{"/duration_ms", "a positive number of milliseconds"})
	case m.MaxRequests <= 0 || m.MaxRequests > maxRequests:
		return errors.WithStack(&MixError{"/max_requests", "from 1 to " + strconv.Itoa(maxRequests)})
	case len(m.Organisations) == 0:
		return errors.WithStack(&MixError{"/organisations", "at least one organisation"})
	}
	for i, o := range m.Organisations {
		if o.Name == "" || o.Key == "" || o.Weight <= 0 {
			return errors.WithStack(&MixError{pointer("organisations", i), "a name, a key and a positive weight"})
		}
	}
	for i := range m.Prompts {
		if expected := m.Prompts[i].check(); expected != "" {
			return errors.WithStack(&MixError{pointer("prompts", i), expected})
		}
	}
	for i := range m.Calls {
		if expected := m.Calls[i].check(); expected != "" {
			return errors.WithStack(&MixError{pointer("calls", i), expected})
		}
	}
	return nil
}

func pointer(list string, i int) string { return "/" + list + "/" + strconv.Itoa(i) }

// check returns what was expected, or an empty string if p is valid.
func (p *Prompts) check() string {
	switch {
	case p.Class == "" || p.Model == "":
		return "a class and a model"
	case p.MinTokens <= 0 || p.MaxTokens < p.MinTokens:
		return "0 < min_tokens <= max_tokens"
	case p.RatePerSecond <= 0:
		return "a positive rate_per_second"
	case p.SharedPrefix < 0 || p.SharedPrefix > 1:
		return "a shared_prefix from 0 to 1"
	}
	return ""
}

// check returns what was expected, or an empty string if c is valid.
func (c *Calls) check() string {
	switch {
	case c.Service == "" || c.Operation == "":
		return "a service and an operation"
	case c.RatePerSecond <= 0:
		return "a positive rate_per_second"
	case c.Repeat < 0 || c.Repeat > 1 || c.Repeat > 0 && !c.Keyed:
		return "a repeat from 0 to 1, above 0 only with keyed"
	}
	return ""
}

// OnlyClasses returns the mix restricted to the prompts of the classes, without
// calls. The arrivals and the texts of a class do not depend on the other
// classes.
func (m Mix) OnlyClasses(classes ...string) Mix {
	var kept []Prompts
	for _, p := range m.Prompts {
		for _, c := range classes {
			if p.Class == c {
				kept = append(kept, p)
			}
		}
	}
	m.Prompts = kept
	m.Calls = nil
	return m
}
