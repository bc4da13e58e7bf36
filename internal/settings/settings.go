// Package settings has the start-up settings of one process: addresses,
// identity, limits of its listeners. What governs the service for all VMs is
// the configuration, in core/configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Settings of one entry VM.
type Settings struct {
	VM       VM       `json:"vm"`
	Callers  Callers  `json:"callers"`
	Admin    Admin    `json:"admin"`
	Peers    Peers    `json:"peers"`
	Platform Platform `json:"platform"`
	Log      Log      `json:"log"`
}

// VM is the process's identity.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Callers is the listener for callers.
type Callers struct {
	Address        string `json:"address"`
	MaxBodyBytes   int    `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
	IdleTimeoutMs  int64  `json:"idle_timeout_ms,omitempty"`
	ReadTimeoutMs  int64  `json:"read_timeout_ms,omitempty"`
	WriteTimeoutMs int64  `json:"write_timeout_ms,omitempty"`
	// DrainGraceMs is how long a VM that shuts down takes requests after it has
	// ceased to be ready, so that the balancer can notice.
	DrainGraceMs int64 `json:"drain_grace_ms"`
}

// IdleTimeout is the life of a connection without a request.
func (c Callers) IdleTimeout() time.Duration { return milliseconds(c.IdleTimeoutMs) }

// ReadTimeout bounds the arrival of one request.
func (c Callers) ReadTimeout() time.Duration { return milliseconds(c.ReadTimeoutMs) }

// DrainGrace is how long a VM that shuts down still takes requests.
func (c Callers) DrainGrace() time.Duration { return milliseconds(c.DrainGraceMs) }

// WriteTimeout bounds one write of an answer.
func (c Callers) WriteTimeout() time.Duration { return milliseconds(c.WriteTimeoutMs) }

// Admin is the listener for operators.
type Admin struct {
	Address string `json:"address"`
	Token   string `json:"token"`
}

// Peers is the listener for the other entry VMs.
type Peers struct {
	Address string `json:"address"`
	// Keys are valid for peers' messages; the first signs one's own.
	Keys []string `json:"keys"`
}

// Platform is the platform's table service, object store and VM list.
type Platform struct {
	Address   string `json:"address"`
	TimeoutMs int64  `json:"timeout_ms,omitempty"`
	// PollMs is the time between two reads of the configuration's head.
	PollMs int64 `json:"poll_ms,omitempty"`
}

// Timeout bounds one request to the platform.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Poll is the time between two reads of the configuration's head.
func (p Platform) Poll() time.Duration { return milliseconds(p.PollMs) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Log is the form of the log.
type Log struct {
	Format string `json:"format,omitempty"`
	Level  string `json:"level,omitempty"`
}

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxBodyBytes:   16 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxConnections: 10_000,
			IdleTimeoutMs:  60_000,
			ReadTimeoutMs:  30_000,
			WriteTimeoutMs: 30_000,
			DrainGraceMs:   3_000,
		},
		Platform: Platform{TimeoutMs: 2_000, PollMs: 1_000},
		Log:      Log{Format: "json", Level: "info"},
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.WithStack(&FieldError{file, "/", err.Error()})
	}
	return Parse(file, data)
}

// Parse checks data against the schema and fills in the defaults.
func Parse(file string, data []byte) (Settings, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Settings{}, errors.WithStack(&FieldError{file, "/", err.Error()})
	}
	if at := duplicate(data); at != "" {
		return Settings{}, errors.WithStack(&FieldError{file, at, "the field stands twice; expected once"})
	}
	schema, err := compile()
	if err != nil {
		return Settings{}, err
	}
	if err := schema.Validate(doc); err != nil {
		return Settings{}, errors.WithStack(fieldError(file, err))
	}
	s := Default()
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, errors.WithStack(&FieldError{file, "/", err.Error()})
	}
	return s, nil
}
