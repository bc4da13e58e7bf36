package calls

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// KeyPrefix starts the key of each call's row.
	KeyPrefix = "calls/"
	// ObjectPrefix starts the key of each result that is kept in the object
	// store.
	ObjectPrefix = "calls/"
)

// Status is where a call stands.
type Status string

// The statuses of a row.
const (
	StatusStarted Status = "started"
	StatusDone    Status = "done"
	// StatusNotRun says that the attempt proved that nothing ran.
	StatusNotRun Status = "not_run"
	// StatusUnknown says that the call may have run.
	StatusUnknown Status = "unknown"
)

// Row is the value of a call's row.
type Row struct {
	// Attempt names the only attempt that may send.
	Attempt string `json:"attempt"`
	// VM and Incarnation name the process that wrote the row.
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// BodyDigest is the digest of the request, see RequestDigest.
	BodyDigest string `json:"body_digest"`
	Status     Status `json:"status"`
	Result
	// StartedMs is when the attempt began, DeadlineMs when it has ended at the
	// latest and ExpiresMs when the row may be removed, in milliseconds since
	// the epoch.
	StartedMs  int64 `json:"started_ms"`
	DeadlineMs int64 `json:"deadline_ms"`
	ExpiresMs  int64 `json:"expires_ms"`
}

// Result is what the service answered.
type Result struct {
	HTTPStatus int    `json:"http_status,omitempty"`
	Body       []byte `json:"body,omitempty"`
	// Object is the key of the body in the object store, where it is too large
	// for the row.
	Object string `json:"object,omitempty"`
	// TooLarge says that the body was over the limit and was not kept.
	TooLarge bool `json:"too_large,omitempty"`
}

// RowError says that a row can't be read.
type RowError struct{ Key string }

// Error implements error.
func (e *RowError) Error() string { return "calls: row " + e.Key + " can't be read" }

// RowKey is the key of the call's row. Its parts are hashed, so that no
// caller's bytes reach the key.
func RowKey(organisation, service, key string) string {
	h := sha256.New()
	for _, part := range []string{organisation, service, key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return KeyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Digest is the SHA-256 digest of a body, in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// RequestDigest tells one request from another under the same key: by its
// operation and its body.
func RequestDigest(operation string, body []byte) string {
	return Digest([]byte(Digest([]byte(operation)) + Digest(body)))
}

// Decode reads a row of the table.
func Decode(row wire.Row) (Row, error) {
	var r Row
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

// Overdue reports whether a started row's attempt must have ended by now.
func (r Row) Overdue(now time.Time, margin time.Duration) bool {
	return r.Status == StatusStarted && now.UnixMilli() > r.DeadlineMs+margin.Milliseconds()
}

// Expired reports whether the row may be removed.
func (r Row) Expired(now time.Time) bool { return now.UnixMilli() > r.ExpiresMs }
