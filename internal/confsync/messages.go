package confsync

import "cornelsaddle.example/cornelsaddle/internal/peer"

// The methods between followers.
const (
	// MethodNews tells a peer of a version; the answer has the peer's own.
	MethodNews peer.Method = "configuration.news"
	// MethodGet asks a peer for the version that it holds.
	MethodGet peer.Method = "configuration.get"
)

// news tells of a version.
type news struct {
	Version int64 `json:"v"`
	// Address is where the sender answers MethodGet.
	Address string `json:"a"`
}

// heard answers news.
type heard struct {
	Version int64 `json:"v"`
}

// get asks for a version newer than Have.
type get struct {
	Have int64 `json:"have"`
}

// transfer answers get. Where the asker is up to date it has neither steps nor
// a document.
type transfer struct {
	Version int64 `json:"version"`
	// Digest is the SHA-256 digest of the document that results.
	Digest   string `json:"digest"`
	Steps    []step `json:"steps,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// NoHeadError says that the table has no head row yet.
type NoHeadError struct{}

// Error implements error.
func (*NoHeadError) Error() string { return "no configuration was applied yet" }

// TransferError says that a document did not arrive as it was sent.
type TransferError struct{ Reason string }

// Error implements error.
func (e *TransferError) Error() string { return "configuration transfer: " + e.Reason }
