// Package settings defines the start-up settings of one process: its addresses,
// its identity and the limits of its listeners. What applies to the service on
// all VMs is set in the configuration; see core/configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Settings are the start-up settings of one entry VM.
type Settings struct {
	VM       VM       `json:"vm"`
	Callers  Callers  `json:"callers"`
	Admin    Admin    `json:"admin"`
	Peers    Peers    `json:"peers"`
	Platform Platform `json:"platform"`
	Log      Log      `json:"log"`
}

// VM is the identity of the process.
type VM struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Callers configures the listener for callers.
type Callers struct {
	Address        string `json:"address"`
	MaxBodyBytes   int    `json:"max_body_bytes,omitempty"`
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
	IdleTimeoutMs  int64  `json:"idle_timeout_ms,omitempty"`
	ReadTimeoutMs  int64  `json:"read_timeout_ms,omitempty"`
	WriteTimeoutMs int64  `json:"write_timeout_ms,omitempty"`
	// DrainGraceMs is how long a VM that is shutting down still accepts requests
	// after it stops reporting ready, so that the load balancer can detect it, in
	// milliseconds.
	DrainGraceMs int64 `json:"drain_grace_ms"`
}

// IdleTimeout returns how long a connection may stay open without a request.
func (c Callers) IdleTimeout() time.Duration { return milliseconds(c.IdleTimeoutMs) }

// ReadTimeout returns the time limit for receiving one request.
func (c Callers) ReadTimeout() time.Duration { return milliseconds(c.ReadTimeoutMs) }

// DrainGrace returns how long a VM that is shutting down still accepts requests.
func (c Callers) DrainGrace() time.Duration { return milliseconds(c.DrainGraceMs) }

// WriteTimeout returns the time limit for one write of a response.
func (c Callers) WriteTimeout() time.Duration { return milliseconds(c.WriteTimeoutMs) }

// Admin configures the listener for operators.
type Admin struct {
	Address string `json:"address"`
	Token   string `json:"token"`
}

// Peers configures the listener for the other entry VMs.
type Peers struct {
	Address string `json:"address"`
	// Keys are the keys accepted for messages from peers; the first signs the
	// messages that this VM sends.
	Keys []string `json:"keys"`
}

// Platform configures the client of the platform's table service, object store
// and VM list.
type Platform struct {
	Address   string `json:"address"`
	TimeoutMs int64  `json:"timeout_ms,omitempty"`
	// PollMs is the interval between reads of the configuration's head, in
	// milliseconds.
	PollMs int64 `json:"poll_ms,omitempty"`
}

// Timeout returns the time limit for one request to the platform.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Poll returns the interval between reads of the configuration's head.
func (p Platform) Poll() time.Duration { return milliseconds(p.PollMs) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Log configures the log.
type Log struct {
	Format string `json:"format,omitempty"`
	Level  string `json:"level,omitempty"`
}

// Default returns the default values of the optional settings.
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

// Load reads and parses a settings file. It returns a FieldError if the file
// cannot be read or is invalid.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.WithStack(&FieldError{file, "/", err.Error()})
	}
	return Parse(file, data)
}

// Parse validates data against the schema and fills in the defaults. It returns a
// FieldError, with file as file name, if data is invalid.
func Parse(file string, data []byte) (Settings, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Settings{}, errors.WithStack(&FieldError{file, "/", err.Error()})
	}
	if duplicate := findDuplicate(data); duplicate != "" {
		return Settings{}, errors.WithStack(&FieldError{file, duplicate, "duplicate field; expected once"})
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
