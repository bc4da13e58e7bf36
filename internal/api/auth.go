package api

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// bucketBytes is the part of a digest by which keys are looked up.
const bucketBytes = 4

// keyring finds the organisation of a caller's key in one version of the
// configuration. A search over all digests would take longer than the rest of
// a short request's handling at the design size.
type keyring struct {
	snapshot *confsync.Snapshot
	buckets  map[[bucketBytes]byte][]keyOwner
}

// keyOwner is the organisation of a key's digest.
type keyOwner struct {
	digest       [sha256.Size]byte
	organisation string
}

// newKeyring indexes the keys of the snapshot. What is no SHA-256 digest in
// hexadecimal opens nothing.
func newKeyring(snap *confsync.Snapshot) *keyring {
	k := &keyring{snapshot: snap, buckets: make(map[[bucketBytes]byte][]keyOwner)}
	for name, org := range snap.Organisations {
		for _, text := range org.KeyDigests {
			digest, err := hex.DecodeString(text)
			if err != nil || len(digest) != sha256.Size {
				continue
			}
			owner := keyOwner{[sha256.Size]byte(digest), name}
			b := bucket(&owner.digest)
			k.buckets[b] = append(k.buckets[b], owner)
		}
	}
	return k
}

func bucket(digest *[sha256.Size]byte) [bucketBytes]byte {
	return [bucketBytes]byte(digest[:bucketBytes])
}

// organisation returns the owner of the key; empty if it has none. The lookup's
// time tells of the digest's first bytes alone, from which no key can be
// guessed; whole digests are compared in constant time.
func (k *keyring) organisation(key []byte) string {
	digest := sha256.Sum256(key)
	found := ""
	for _, o := range k.buckets[bucket(&digest)] {
		if subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1 {
			found = o.organisation
		}
	}
	return found
}

// keyrings holds the keyring of the version last asked for. It is safe for
// concurrent use.
type keyrings struct{ current atomic.Pointer[keyring] }

// of returns the snapshot's keyring.
func (k *keyrings) of(snap *confsync.Snapshot) *keyring {
	if ring := k.current.Load(); ring != nil && ring.snapshot == snap {
		return ring
	}
	ring := newKeyring(snap)
	k.current.Store(ring)
	return ring
}

// authenticate finds the organisation of the caller's key.
func authenticate(ctx *fasthttp.RequestCtx, ring *keyring) (string, error) {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !ok || len(key) == 0 {
		return "", errcode.New(errcode.Unauthorized, "a bearer key is required")
	}
	organisation := ring.organisation(key)
	if organisation == "" {
		return "", errcode.New(errcode.Unauthorized, "the key is not known")
	}
	return organisation, nil
}
