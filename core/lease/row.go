package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// KeyPrefix is the prefix of the keys of leases' rows.
const KeyPrefix = "leases/"

// Row is the value of a lease's row.
type Row struct {
	// Holder is the VM that holds the lease; empty once it is released.
	Holder string `json:"holder"`
	// Incarnation identifies the process that wrote the row.
	Incarnation int64 `json:"incarnation"`
	// Fencing is the fencing number. It increases with every acquisition.
	Fencing int64 `json:"fencing"`
	// TTLMs is the lease duration after a write, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// SentNs and SentWallNs are the writer's monotonic and wall clock when it
	// sent the row, in nanoseconds. Only the writer can interpret them.
	SentNs     int64 `json:"sent_ns"`
	SentWallNs int64 `json:"sent_wall_ns"`
}

// RowError reports that a row cannot be decoded.
type RowError struct{ Key string }

// Error implements error.
func (e *RowError) Error() string { return "lease: row " + e.Key + " cannot be decoded" }

func decode(row wire.Row) (Row, error) {
	var r Row
	if row.Version == wire.AbsentVersion {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Row{}, errors.WithStack(&RowError{row.Key})
	}
	return r, nil
}

// encode returns the row's value as JSON. Encoding a Row cannot fail.
func (r Row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// sentAt returns when the writer sent the row.
func (r Row) sentAt() Instant {
	return Instant{Mono: time.Duration(r.SentNs), Wall: time.Unix(0, r.SentWallNs)}
}

func (r Row) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }
