package confsync

import "cornelsaddle.example/cornelsaddle/internal/peer"

// Methods that followers call on each other.
const (
	// MethodNotify notifies a peer of a version; the response contains the newest
	// version known to the peer.
	MethodNotify peer.Method = "configuration.news"
	// MethodGet requests the version in force at a peer.
	MethodGet peer.Method = "configuration.get"
)

// notifyParams contains the parameters of MethodNotify.
type notifyParams struct {
	Version int64 `json:"v"`
	// Address is the address at which the sender accepts MethodGet.
	Address string `json:"a"`
}

// notifyResult is the result of MethodNotify.
type notifyResult struct {
	Version int64 `json:"v"`
}

// getParams contains the parameters of MethodGet; Have is the version in force at
// the caller, or zero.
type getParams struct {
	Have int64 `json:"have"`
}

// transfer is the result of MethodGet. It contains neither steps nor a document
// if the caller is up to date.
type transfer struct {
	Version int64 `json:"version"`
	// Digest is the SHA-256 digest of the resulting document.
	Digest   string `json:"digest"`
	Steps    []step `json:"steps,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// NoHeadError reports that the table has no head row yet.
type NoHeadError struct{}

// Error implements error.
func (*NoHeadError) Error() string { return "no configuration has been applied yet" }

// TransferError reports a fetched document or patch sequence that failed
// verification.
type TransferError struct{ Reason string }

// Error implements error.
func (e *TransferError) Error() string { return "configuration transfer: " + e.Reason }
