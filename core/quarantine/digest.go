package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of the digest of a request.
const digestBytes = 16

// Digest returns the digest that identifies what a caller asks for, whichever attempt and VM
// it comes by: the first bytes of the SHA-256 of the fields, each preceded by its length, in
// hexadecimal.
func Digest(fields ...[]byte) string {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		h.Write(f)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
