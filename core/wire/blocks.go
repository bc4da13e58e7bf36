package wire

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the size of a block of an engine's prefix cache, in tokens.
	BlockTokens = 256
	// BytesPerToken is the number of bytes of text that engines hash per token.
	BytesPerToken = 4
)

// PromptText returns the prompt of a completion request, or the roles and
// contents of the messages of a chat request, each followed by a newline.
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

// Blocks returns the hashes of the complete blocks of the text. Each hash covers
// the text from its start to the end of the block; a partial last block has none.
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
