package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// BytesPerToken is the stand-in's tokeniser: so many bytes make a token.
const BytesPerToken = wire.BytesPerToken

// tokenStep spreads the indices over the hash's range.
const tokenStep = 0x9e3779b97f4a7c15

// PromptText is the text that a request asks about.
func PromptText(r *wire.CompletionRequest) string { return wire.PromptText(r) }

// PromptTokens is the length of a text in tokens.
func PromptTokens(text string) int64 {
	return max(1, int64((len(text)+BytesPerToken-1)/BytesPerToken))
}

// TokenText is the answer's token with that index. It depends on the prompt, so
// that a test can tell whose answer it is.
func TokenText(prompt string, index int64) string {
	return tokenText(xxhash.Sum64String(prompt), index)
}

func tokenText(seed uint64, index int64) string {
	return strconv.FormatUint(seed^uint64(index+1)*tokenStep, 36) + " "
}

// AnswerText is the whole answer of so many tokens.
func AnswerText(prompt string, tokens int64) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Blocks hashes the text's whole blocks; each hash covers all before it.
func Blocks(text string) []uint64 { return wire.Blocks(text) }
