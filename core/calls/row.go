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
	// KeyPrefix is the prefix of the keys of calls' rows.
	KeyPrefix = "calls/"
	// ObjectPrefix is the prefix of the keys of results in the object store.
	ObjectPrefix = "calls/"
)

// Status is the status of a call.
type Status string

// The statuses of a row.
const (
	StatusStarted Status = "started"
	StatusDone    Status = "done"
	// StatusNotRun means that the call certainly did not run.
	StatusNotRun Status = "not_run"
	// StatusUnknown means that the call may have run.
	StatusUnknown Status = "unknown"
)

// Row is the value of a call's row.
type Row struct {
	// Attempt is the ID of the only attempt that may send the call.
	Attempt string `json:"attempt"`
	// VM and Incarnation identify the process that wrote the row.
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// BodyDigest is the digest of the request, see RequestDigest.
	BodyDigest string `json:"body_digest"`
	Status     Status `json:"status"`
	Result
	// StartedMs is the start of the attempt, DeadlineMs the time by which it must
	// have ended and ExpiresMs the time after which the row may be removed, in
	// milliseconds since the Unix epoch.
	StartedMs  int64 `json:"started_ms"`
	DeadlineMs int64 `json:"deadline_ms"`
	ExpiresMs  int64 `json:"expires_ms"`
}

// Result is the service's response.
type Result struct {
	HTTPStatus int    `json:"http_status,omitempty"`
	Body       []byte `json:"body,omitempty"`
	// Object is the key of the body in the object store, if the body is too large
	// for the row.
	Object string `json:"object,omitempty"`
	// TooLarge says that the body was too large, or could not be stored by the
	// caller's deadline, and was discarded.
	TooLarge bool `json:"too_large,omitempty"`
}

// RowError reports that a row cannot be decoded.
type RowError struct{ Key string }

// Error implements error.
func (e *RowError) Error() string { return "calls: row " + e.Key + " can't be read" }

// RowKey returns the key of the call's row. Its parts are hashed, so that the
// key contains no bytes supplied by a caller.
func RowKey(organisation, service, key string) string {
	h := sha256.New()
	for _, part := range []string{organisation, service, key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return KeyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Digest returns the SHA-256 digest of a body, in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// RequestDigest returns a digest of the operation and the body. It detects a key
// that is reused with a different request.
func RequestDigest(operation string, body []byte) string {
	return Digest([]byte(Digest([]byte(operation)) + Digest(body)))
}

// Decode decodes a row of the table. It returns a RowError if the value is not
// valid JSON.
func Decode(row wire.Row) (Row, error) {
	var r Row
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

// Overdue reports whether the row is still started although its deadline plus
// margin has passed; its attempt must then have ended.
func (r Row) Overdue(now time.Time, margin time.Duration) bool {
	return r.Status == StatusStarted && now.UnixMilli() > r.DeadlineMs+margin.Milliseconds()
}

// Expired reports whether the row's retention time has passed at now.
func (r Row) Expired(now time.Time) bool { return now.UnixMilli() > r.ExpiresMs }
