// Package settings has the start-up settings of one process: addresses,
// identity, limits of its listeners. What governs the service for all VMs is
// the configuration, in core/configuration.
package settings

import (
	"bytes"
	"embed"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaFile embed.FS

// schemaName is the embedded schema's file.
const schemaName = "schema.json"

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
	MaxBodyBytes   int    `json:"max_body_bytes"`
	MaxConnections int    `json:"max_connections"`
	IdleTimeoutMs  int64  `json:"idle_timeout_ms"`
	ReadTimeoutMs  int64  `json:"read_timeout_ms"`
	// DrainGraceMs is how long a VM that shuts down takes requests after it has
	// ceased to be ready, so that the balancer can notice.
	DrainGraceMs int64 `json:"drain_grace_ms"`
}

// DrainGrace is how long a VM that shuts down still takes requests.
func (c Callers) DrainGrace() time.Duration {
	return time.Duration(c.DrainGraceMs) * time.Millisecond
}

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
	TimeoutMs int64  `json:"timeout_ms"`
	// PollMs is the time between two reads of the configuration's head.
	PollMs int64 `json:"poll_ms"`
}

// Timeout bounds one request to the platform.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMs) * time.Millisecond }

// Poll is the time between two reads of the configuration's head.
func (p Platform) Poll() time.Duration { return time.Duration(p.PollMs) * time.Millisecond }

// Log is the form of the log.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

// FieldError says which setting is wrong and what was expected.
type FieldError struct {
	File     string
	Pointer  string
	Expected string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.File + ": " + e.Pointer + ": " + e.Expected
}

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxBodyBytes:   16 << 20,
			MaxConnections: 10_000,
			IdleTimeoutMs:  60_000,
			ReadTimeoutMs:  30_000,
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

func compile() (*jsonschema.Schema, error) {
	f, err := schemaFile.Open(schemaName)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = f.Close() }()
	doc, err := jsonschema.UnmarshalJSON(f)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return nil, errors.WithStack(err)
	}
	schema, err := c.Compile(schemaName)
	return schema, errors.WithStack(err)
}

// fieldError finds the innermost cause of a failed check.
func fieldError(file string, err error) *FieldError {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return &FieldError{file, "/", err.Error()}
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	text := v.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return &FieldError{file, "/" + strings.Join(v.InstanceLocation, "/"), text}
}
