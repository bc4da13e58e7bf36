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
	// maxRequests bounds the requests of one run, whatever its mix says.
	maxRequests = 1_000_000
)

// Mix describes a load.
type Mix struct {
	Name string `json:"name"`
	// Seed fixes the arrivals, the lengths and the texts.
	Seed uint64 `json:"seed"`
	// TextSeed gives the same arrivals and lengths other texts, so that a run
	// does not find the prompts of an earlier one in the engines' caches.
	TextSeed uint64 `json:"text_seed,omitempty"`
	// DurationMs is the time over which requests are sent.
	DurationMs int64 `json:"duration_ms"`
	// MaxRequests bounds the number of requests.
	MaxRequests int `json:"max_requests"`
	// MaxInFlight bounds the requests in flight; one that would pass it is
	// skipped and counted. Zero for 1000.
	MaxInFlight   int            `json:"max_in_flight,omitempty"`
	Organisations []Organisation `json:"organisations"`
	Prompts       []Prompts      `json:"prompts,omitempty"`
	Calls         []Calls        `json:"calls,omitempty"`
}

// Organisation sends a share of the requests.
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
	// RatePerSecond is the mean of the Poisson arrivals.
	RatePerSecond float64 `json:"rate_per_second"`
	// AnswerTokens is the length of the answers; zero for 16.
	AnswerTokens int64 `json:"answer_tokens,omitempty"`
	// SharedPrefix is the share of a prompt, from 0 to 1, that it has in common
	// with the others of its group.
	SharedPrefix float64 `json:"shared_prefix,omitempty"`
	// PrefixGroups is the number of groups with a prefix of their own; zero for
	// one.
	PrefixGroups int `json:"prefix_groups,omitempty"`
	// TimeoutMs is the deadline asked for; zero for a minute.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// Whole asks for whole answers in place of streams.
	Whole bool `json:"whole,omitempty"`
}

// Calls is one kind of calls to a plain service.
type Calls struct {
	Service       string  `json:"service"`
	Operation     string  `json:"operation"`
	RatePerSecond float64 `json:"rate_per_second"`
	// Keyed calls carry an Idempotency-Key.
	Keyed bool `json:"keyed,omitempty"`
	// Repeat is the share of keyed calls, from 0 to 1, that are sent again,
	// through the next address, once answered. Both answers must be equal.
	Repeat    float64 `json:"repeat,omitempty"`
	TimeoutMs int64   `json:"timeout_ms,omitempty"`
}

// MixError says which field of a mix is wrong and what was expected.
type MixError struct {
	Pointer  string
	Expected string
}

// Error implements error.
func (e *MixError) Error() string { return "mix: " + e.Pointer + ": " + e.Expected }

// ReadMix reads and checks a mix file.
func ReadMix(file string) (Mix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Mix{}, errors.WithStack(err)
	}
	return ParseMix(data)
}

// ParseMix reads and checks a mix; a field it does not know is an error.
func ParseMix(data []byte) (Mix, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var m Mix
	if err := dec.Decode(&m); err != nil {
		return Mix{}, errors.WithStack(&MixError{"/", err.Error()})
	}
	return m, m.Validate()
}

// Validate reports the first field that is wrong, as a MixError.
func (m *Mix) Validate() error {
	switch {
	case m.DurationMs <= 0:
		return errors.WithStack(&MixError{"/duration_ms", "a positive number of milliseconds"})
	case m.MaxRequests <= 0 || m.MaxRequests > maxRequests:
		return errors.WithStack(&MixError{"/max_requests", "from 1 to " + strconv.Itoa(maxRequests)})
	case len(m.Organisations) == 0:
		return errors.WithStack(&MixError{"/organisations", "at least one"})
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

// check says what was expected; empty when all is well.
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

// check says what was expected; empty when all is well.
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

// Only returns the mix with the prompts of the classes alone, and no calls. The
// arrivals and the texts of a class do not depend on the other classes.
func (m Mix) Only(classes ...string) Mix {
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
