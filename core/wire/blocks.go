package wire

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens in one block of an engine's prefix
	// cache.
	BlockTokens = 256
	// BytesPerToken is the number of bytes that engines hash for a token.
	BytesPerToken = 4
)

// PromptText is the text that a request asks about.
func PromptText(r *CompletionRequest) string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Blocks hashes the text's whole blocks; each hash covers all before it.
func Blocks(text string) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	blocks := make([]uint64, 0, len(text)/blockBytes)
	d := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = d.WriteString(text[:blockBytes])
		blocks = append(blocks, d.Sum64())
		text = text[blockBytes:]
	}
	return blocks
}
