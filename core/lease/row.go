package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// KeyPrefix starts the key of each lease's row.
const KeyPrefix = "leases/"

// Row is the value of a lease's row.
type Row struct {
	// Holder is the holding VM; empty once released.
	Holder string `json:"holder"`
	// Incarnation is that of the holder's process.
	Incarnation int64 `json:"incarnation"`
	// Fencing grows with every acquisition.
	Fencing int64 `json:"fencing"`
	// TTLMs is how long the lease lasts after a write, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// SentNs and SentWallNs are the writer's monotonic and wall clock when it
	// sent the row, in nanoseconds. They mean something to the writer only.
	SentNs     int64 `json:"sent_ns"`
	SentWallNs int64 `json:"sent_wall_ns"`
}

// RowError says that a row can't be read.
type RowError struct{ Key string }

// Error implements error.
func (e *RowError) Error() string { return "lease: row " + e.Key + " can't be read" }

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

// encode writes the row's value. A Row always encodes.
func (r Row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// sent is when the writer sent the row.
func (r Row) sent() Instant {
	return Instant{Mono: time.Duration(r.SentNs), Wall: time.Unix(0, r.SentWallNs)}
}

func (r Row) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }
