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

// organisations returns a snapshot with so many organisations of two keys each,
// key-N-a and key-N-b.
func organisations(version int64, n int) *confsync.Snapshot {
	doc := &configuration.Document{Organisations: make(map[string]configuration.Organisation, n)}
	for i := range n {
		doc.Organisations[fmt.Sprintf("organisation-%d", i)] = configuration.Organisation{KeyDigests: []string{
			calls.Digest([]byte(fmt.Sprintf("key-%d-a", i))),
			calls.Digest([]byte(fmt.Sprintf("key-%d-b", i))),
		}}
	}
	return &confsync.Snapshot{Version: version, Document: doc}
}

func bearer(value string) *fasthttp.RequestCtx {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.Set("Authorization", value)
	return &ctx
}

// naive compares the key's digest with every digest of the configuration.
func naive(snap *confsync.Snapshot, key string) string {
	for name, org := range snap.Organisations {
		if slices.Contains(org.KeyDigests, calls.Digest([]byte(key))) {
			return name
		}
	}
	return ""
}

func TestKeyringAgreesWithASearch(t *testing.T) {
	snap := organisations(1, 50)
	snap.Organisations["faulty"] = configuration.Organisation{KeyDigests: []string{"", "zz", "00"}}
	ring := newKeyring(snap)
	for i := range 60 {
		for _, key := range []string{fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i), fmt.Sprintf("key-%d-c", i)} {
			require.Equal(t, naive(snap, key), ring.organisation([]byte(key)), key)
		}
	}
}

func TestDigestsThatShareABucketAreToldApart(t *testing.T) {
	ring := newKeyring(organisations(1, 1))
	digest := sha256.Sum256([]byte("key-0-a"))
	near := digest
	near[sha256.Size-1]++
	b := bucket(&digest)
	ring.buckets[b] = append(ring.buckets[b], keyOwner{near, "neighbour"})
	require.Equal(t, "organisation-0", ring.organisation([]byte("key-0-a")))
}

func TestANewVersionBringsNewKeys(t *testing.T) {
	var keys keyrings
	first := organisations(1, 2)
	second := organisations(2, 1)
	require.Equal(t, "organisation-1", keys.of(first).organisation([]byte("key-1-a")))
	require.Same(t, keys.of(first), keys.of(first))
	require.Empty(t, keys.of(second).organisation([]byte("key-1-a")))
}

func TestAuthenticateNeedsABearerKey(t *testing.T) {
	ring := newKeyring(organisations(1, 1))
	for _, value := range []string{"", "Bearer", "Bearer ", "Basic key-0-a", "key-0-a", "Bearer key-0-c"} {
		_, err := authenticate(bearer(value), ring)
		require.True(t, errcode.Is(err, errcode.Unauthorized), value)
		require.NotContains(t, err.Error(), "key-0")
	}
	name, err := authenticate(bearer("Bearer key-0-b"), ring)
	require.NoError(t, err)
	require.Equal(t, "organisation-0", name)
}

// BenchmarkAuthenticate800 has the organisations of the design size.
func BenchmarkAuthenticate800(b *testing.B) {
	var keys keyrings
	snap := organisations(1, 800)
	ctx := bearer("Bearer key-799-b")
	for b.Loop() {
		if _, err := authenticate(ctx, keys.of(snap)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeyring800 is what a new version costs once.
func BenchmarkKeyring800(b *testing.B) {
	snap := organisations(1, 800)
	for b.Loop() {
		newKeyring(snap)
	}
}
