package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BytesPerToken is the number of bytes of text that count as one token.
const BytesPerToken = wire.BytesPerToken

// tokenMultiplier spreads token indices over the 64 bits of the hash.
const tokenMultiplier = 0x9e3779b97f4a7c15

// PromptText returns the prompt of a completion or chat request.
func PromptText(r *wire.CompletionRequest) string { return wire.PromptText(r) }

// PromptTokens returns the length of a text in tokens, at least 1.
func PromptTokens(text string) int64 {
	return max(1, int64((len(text)+BytesPerToken-1)/BytesPerToken))
}

// TokenText returns the text of the answer's token at the index. It depends on
// the prompt, so that tests can match an answer to its request.
func TokenText(prompt string, index int64) string {
	return tokenText(xxhash.Sum64String(prompt), index)
}

func tokenText(seed uint64, index int64) string {
	return strconv.FormatUint(seed^uint64(index+1)*tokenMultiplier, 36) + " "
}

// AnswerText returns the text of the prompt's answer with the number of tokens.
func AnswerText(prompt string, tokens int64) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Blocks returns the hashes of the text's complete blocks. Each hash covers its
// block and all blocks before it.
func Blocks(text string) []uint64 { return wire.Blocks(text) }
