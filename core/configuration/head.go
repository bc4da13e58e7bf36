package configuration

import "fmt"

// HeadKey is the key of the table row that holds the newest accepted version.
const HeadKey = "configuration/head"

// VersionKey returns the key of the table row that keeps the head of an accepted
// version.
func VersionKey(version int64) string {
	return fmt.Sprintf("configuration/versions/%012d", version)
}

// Head is the value of the head row.
type Head struct {
	// Version increases with every accepted change.
	Version int64 `json:"version"`
	// Object is the object store key of the merged document.
	Object string `json:"object"`
	// Files is the object store key of the folder's files.
	Files string `json:"files"`
	// Digest is the SHA-256 digest of the document, in hexadecimal.
	Digest string `json:"digest"`
	// Change identifies the apply operation that wrote the row, so that after a
	// lost response the writer can read the row back to see whether its write
	// succeeded.
	Change string `json:"change"`
}
