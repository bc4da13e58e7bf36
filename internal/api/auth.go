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

// bucketPrefixBytes is the length of the digest prefix by which keys are indexed.
const bucketPrefixBytes = 4

// keyring indexes the digests of the callers' keys in one configuration snapshot.
// At the design size, a linear search over all digests would take longer than the
// rest of the handling of a short request.
type keyring struct {
	snapshot *confsync.Snapshot
	buckets  map[[bucketPrefixBytes]byte][]keyOwner
}

// keyOwner is the digest of a key and the organisation that the key belongs to.
type keyOwner struct {
	digest       [sha256.Size]byte
	organisation string
}

// newKeyring indexes the key digests of the snapshot. A text that is not a
// SHA-256 digest in hexadecimal is skipped, so that it matches no key.
func newKeyring(snap *confsync.Snapshot) *keyring {
	k := &keyring{snapshot: snap, buckets: make(map[[bucketPrefixBytes]byte][]keyOwner)}
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

// bucket returns the prefix of the digest that is its key in the index.
func bucket(digest *[sha256.Size]byte) [bucketPrefixBytes]byte {
	return [bucketPrefixBytes]byte(digest[:bucketPrefixBytes])
}

// organisation returns the organisation that the key belongs to, or an empty
// string for an unknown key. The time of the lookup reveals at most the
// first bytes of the digest, from which no key can be guessed; full digests are
// compared in constant time.
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

// keyringCache caches the keyring of the snapshot last used. It is safe for
// concurrent use.
type keyringCache struct{ current atomic.Pointer[keyring] }

// get returns the snapshot's keyring, and builds it unless it is cached.
func (k *keyringCache) get(snap *confsync.Snapshot) *keyring {
	if ring := k.current.Load(); ring != nil && ring.snapshot == snap {
		return ring
	}
	ring := newKeyring(snap)
	k.current.Store(ring)
	return ring
}

// authenticate returns the organisation of the bearer key in the Authorization
// header, whose scheme is matched in any case. A missing or unknown key is an
// errcode.Unauthorized.
func authenticate(ctx *fasthttp.RequestCtx, ring *keyring) (string, error) {
	scheme, key, _ := bytes.Cut(ctx.Request.Header.Peek("Authorization"), []byte(" "))
	key = bytes.TrimSpace(key)
	if !bytes.EqualFold(scheme, []byte("Bearer")) || len(key) == 0 {
		return "", errcode.New(errcode.Unauthorized, "a bearer key is required")
	}
	organisation := ring.organisation(key)
	if organisation == "" {
		return "", errcode.New(errcode.Unauthorized, "the key is not known")
	}
	return organisation, nil
}
