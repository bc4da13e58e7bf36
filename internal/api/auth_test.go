package api

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// newSnapshot returns a snapshot with n organisations. Organisation i has the
// keys key-i-a and key-i-b.
func newSnapshot(version int64, n int) *confsync.Snapshot {
	doc := &configuration.Document{Organisations: make(map[string]configuration.Organisation, n)}
	for i := range n {
		doc.Organisations[fmt.Sprintf("organisation-%d", i)] = configuration.Organisation{KeyDigests: []string{
			calls.Digest([]byte(fmt.Sprintf("key-%d-a", i))),
			calls.Digest([]byte(fmt.Sprintf("key-%d-b", i))),
		}}
	}
	return &confsync.Snapshot{Version: version, Document: doc}
}

// requestWithAuthorization returns a request with the value as its Authorization
// header.
func requestWithAuthorization(value string) *fasthttp.RequestCtx {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.Set("Authorization", value)
	return &ctx
}

// linearSearch finds the key's organisation by comparing its digest with every
// digest of the configuration.
func linearSearch(snap *confsync.Snapshot, key string) string {
	for name, org := range snap.Organisations {
		if slices.Contains(org.KeyDigests, calls.Digest([]byte(key))) {
			return name
		}
	}
	return ""
}

func TestKeyringMatchesLinearSearch(t *testing.T) {
	snap := newSnapshot(1, 50)
	snap.Organisations["faulty"] = configuration.Organisation{KeyDigests: []string{"", "zz", "00"}}
	ring := newKeyring(snap)
	for i := range 60 {
		for _, key := range []string{fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i), fmt.Sprintf("key-%d-c", i)} {
			require.Equal(t, linearSearch(snap, key), ring.organisation([]byte(key)), key)
		}
	}
}

func TestDigestsInSameBucketAreDistinguished(t *testing.T) {
	ring := newKeyring(newSnapshot(1, 1))
	digest := sha256.Sum256([]byte("key-0-a"))
	similar := digest
	similar[sha256.Size-1]++
	b := bucket(&digest)
	ring.buckets[b] = append(ring.buckets[b], keyOwner{similar, "other"})
	require.Equal(t, "organisation-0", ring.organisation([]byte("key-0-a")))
}

func TestNewSnapshotReplacesKeyring(t *testing.T) {
	var keys keyringCache
	first := newSnapshot(1, 2)
	second := newSnapshot(2, 1)
	require.Equal(t, "organisation-1", keys.get(first).organisation([]byte("key-1-a")))
	require.Same(t, keys.get(first), keys.get(first))
	require.Empty(t, keys.get(second).organisation([]byte("key-1-a")))
}

func TestAuthenticateRequiresBearerKey(t *testing.T) {
	ring := newKeyring(newSnapshot(1, 1))
	for _, value := range []string{"", "Bearer", "Bearer ", "Basic key-0-a", "key-0-a", "Bearer key-0-c"} {
		_, err := authenticate(requestWithAuthorization(value), ring)
		require.True(t, errcode.Is(err, errcode.Unauthorized), value)
		require.NotContains(t, err.Error(), "key-0")
	}
	name, err := authenticate(requestWithAuthorization("Bearer key-0-b"), ring)
	require.NoError(t, err)
	require.Equal(t, "organisation-0", name)
}

// BenchmarkAuthenticate800 measures a lookup with 800 organisations, the design
// size.
func BenchmarkAuthenticate800(b *testing.B) {
	var keys keyringCache
	snap := newSnapshot(1, 800)
	ctx := requestWithAuthorization("Bearer key-799-b")
	for b.Loop() {
		if _, err := authenticate(ctx, keys.get(snap)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeyring800 measures the build of the index, which is done once for
// each configuration version.
func BenchmarkKeyring800(b *testing.B) {
	snap := newSnapshot(1, 800)
	for b.Loop() {
		newKeyring(snap)
	}
}
