package api

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// authenticate finds the organisation of the caller's key. Every digest is
// compared, in constant time.
func authenticate(ctx *fasthttp.RequestCtx, snap *confsync.Snapshot) (string, error) {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !ok || len(key) == 0 {
		return "", errcode.New(errcode.Unauthorized, "a bearer key is required")
	}
	sum := sha256.Sum256(key)
	digest := []byte(hex.EncodeToString(sum[:]))
	found := ""
	for name, org := range snap.Organisations {
		for _, d := range org.KeyDigests {
			if subtle.ConstantTimeCompare(digest, []byte(d)) == 1 {
				found = name
			}
		}
	}
	if found == "" {
		return "", errcode.New(errcode.Unauthorized, "the key is not known")
	}
	return found, nil
}
