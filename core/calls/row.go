package calls

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyPrefix starts the key of each call's row.
const keyPrefix = "calls/"

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
	// BodyDigest is the SHA-256 digest of the request's body.
	BodyDigest string `json:"body_digest"`
	Status     Status `json:"status"`
	// HTTPStatus and Body are the result, when done.
	HTTPStatus int    `json:"http_status,omitempty"`
	Body       []byte `json:"body,omitempty"`
	// ExpiresMs is when the row may be removed, in milliseconds since the
	// epoch.
	ExpiresMs int64 `json:"expires_ms"`
}

// RowKey is the key of the call's row. Its parts are hashed, so that no
// caller's bytes reach the key.
func RowKey(organisation, service, key string) string {
	h := sha256.New()
	for _, part := range []string{organisation, service, key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Digest is the SHA-256 digest of a body, in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
