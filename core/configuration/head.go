package configuration

import "fmt"

// HeadKey is the row of the table service that names the version in force.
const HeadKey = "configuration/head"

// VersionKey is the row that keeps the head of an accepted version.
func VersionKey(version int64) string {
	return fmt.Sprintf("configuration/versions/%012d", version)
}

// Head is the value of the head row.
type Head struct {
	// Version only grows.
	Version int64 `json:"version"`
	// Object is the key of the merged document in the object store.
	Object string `json:"object"`
	// Files is the key of the folder's files in the object store.
	Files string `json:"files"`
	// Digest is the SHA-256 digest of the document, in hexadecimal.
	Digest string `json:"digest"`
	// Change names the apply that wrote the row, so that a lost answer can be
	// settled by reading back.
	Change string `json:"change"`
}
