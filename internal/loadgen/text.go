package loadgen

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a token in the generated texts.
const bytesPerToken = 4

// tokenWords are words of the length of one token, including the trailing space.
var tokenWords = []string{
	"ash ", "oar ", "pin ", "rod ", "hem ", "sew ", "dye ", "fan ",
	"ink ", "jar ", "key ", "lid ", "map ", "net ", "pen ", "tin ",
}

// text generates the prompt: the prefix of its group, then a text of its own.
func (it *plannedRequest) text() string {
	prefixTokens := int64(it.prompts.SharedPrefix * float64(it.tokens))
	var b strings.Builder
	b.Grow(int(it.tokens) * bytesPerToken)
	writeTokens(&b, rand.New(rand.NewPCG(xxhash.Sum64String(it.prompts.Class)^it.textSeed, uint64(it.prefixGroup))), prefixTokens)
	writeTokens(&b, rand.New(rand.NewPCG(it.seed, it.textSeed)), it.tokens-prefixTokens)
	return b.String()
}

func writeTokens(b *strings.Builder, rng *rand.Rand, tokens int64) {
	for range tokens {
		b.WriteString(tokenWords[rng.IntN(len(tokenWords))])
	}
}
